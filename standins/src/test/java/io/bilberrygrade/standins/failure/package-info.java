/** Failures of real processes, which virtual time can't show. */
package io.bilberrygrade.standins.failure;
