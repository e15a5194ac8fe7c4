/** Timers, behind an interface so that decisions can be driven on virtual time. */
package io.bilberrygrade.serving.timer;
