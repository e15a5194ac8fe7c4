/** Status, audit trail and reports of a daemon and of the fleet, for operators. */
package io.bilberrygrade.serving.report;
