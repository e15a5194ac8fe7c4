/**
 * Decides which requests are served, and when the others may return, if not all can be in time, and
 * where prompts are placed under demand that the daemons' shared view of the work can't follow.
 */
package io.bilberrygrade.core.contention;
