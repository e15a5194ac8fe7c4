/** Counts requests and their outcomes per class of work for reports. */
package io.bilberrygrade.core.report;
