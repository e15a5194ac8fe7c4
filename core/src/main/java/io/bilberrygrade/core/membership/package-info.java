/** Decides which peers are alive from their heartbeat counters, and which of them to gossip of. */
package io.bilberrygrade.core.membership;
