/** Micro-benchmarks of the decisions. */
package io.bilberrygrade.bench;
