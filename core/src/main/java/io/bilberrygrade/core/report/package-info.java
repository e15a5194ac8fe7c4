/** Counts per class of work, from which reports are made. */
package io.bilberrygrade.core.report;
