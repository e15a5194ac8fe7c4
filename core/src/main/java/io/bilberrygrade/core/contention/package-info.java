/** Decides which requests are served, and when the others may return, if not all can be in time. */
package io.bilberrygrade.core.contention;
