/** Runs the daemons as processes. */
package io.bilberrygrade.daemon;
