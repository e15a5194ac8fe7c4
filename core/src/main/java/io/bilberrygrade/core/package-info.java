/** Values and decisions of the serving layer, free of input, output, threads and clocks. */
package io.bilberrygrade.core;
