/** Delays on the event loop, behind an interface so that tests can run on virtual time. */
package io.bilberrygrade.serving.time;
