/** Measures the cost of control traffic per daemon, with idle daemons and stand-ins. */
package io.bilberrygrade.standins.load.control;
