/** Values and decisions of the serving layer, without I/O, threads or clocks. */
package io.bilberrygrade.core;
