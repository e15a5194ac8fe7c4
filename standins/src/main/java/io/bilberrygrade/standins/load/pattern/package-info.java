/**
 * Simulates placement policies under load patterns in virtual time, on engines with continuous
 * batching.
 */
package io.bilberrygrade.standins.load.pattern;
