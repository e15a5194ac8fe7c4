package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;

/** Identity of a daemon: its instance and its incarnation there. */
public record PeerIdentity(InstanceId instance, Incarnation incarnation) {}
