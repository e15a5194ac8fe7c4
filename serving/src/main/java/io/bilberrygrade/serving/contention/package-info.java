/** Carries out decisions under demand that the daemons' shared view of the work can't follow. */
package io.bilberrygrade.serving.contention;
