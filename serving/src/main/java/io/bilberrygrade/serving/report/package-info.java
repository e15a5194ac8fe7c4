/** What operators see of a daemon and of the fleet: status, audit trail and reports. */
package io.bilberrygrade.serving.report;
