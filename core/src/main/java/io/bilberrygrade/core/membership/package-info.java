/** Determines the liveness of peers from their heartbeats and selects the heartbeats to gossip. */
package io.bilberrygrade.core.membership;
