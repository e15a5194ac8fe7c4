package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;

/** Who a daemon is: its instance and its run on it. */
public record PeerIdentity(InstanceId instance, Incarnation incarnation) {}
