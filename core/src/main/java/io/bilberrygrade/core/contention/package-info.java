/** Decisions under demand that the daemons' shared view of the work can't follow. */
package io.bilberrygrade.core.contention;
