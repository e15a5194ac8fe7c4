/**
 * Runs non-idempotent calls at most once, under idempotency keys that name the daemon that issued
 * them.
 */
package io.bilberrygrade.serving.atmostonce;
