/** Decides which requests are admitted and when refused ones may be retried. */
package io.bilberrygrade.core.admission;
