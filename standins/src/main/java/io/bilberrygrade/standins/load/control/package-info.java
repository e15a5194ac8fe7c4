/** Measures what control costs a daemon, with idle daemons and small stand-ins. */
package io.bilberrygrade.standins.load.control;
