/** Microbenchmarks of placement decisions. */
package io.bilberrygrade.bench;
