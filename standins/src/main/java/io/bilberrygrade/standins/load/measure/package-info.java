/** Measures a running deployment under a seeded open-loop workload. */
package io.bilberrygrade.standins.load.measure;
