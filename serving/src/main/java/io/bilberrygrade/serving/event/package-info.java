/** Numbered log events and the audit trail of changes. */
package io.bilberrygrade.serving.event;
