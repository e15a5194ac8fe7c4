/** Decides whether a call under an idempotency key runs, so that none runs twice. */
package io.bilberrygrade.core.atmostonce;
