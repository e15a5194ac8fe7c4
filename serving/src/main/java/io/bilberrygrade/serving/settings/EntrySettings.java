package io.bilberrygrade.serving.settings;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of one entry daemon. {@code peerKey} is the key that all daemons of a deployment share;
 * {@code maxBodyBytes} bounds a caller's request body; without an operator credential the operator
 * API rejects all calls.
 */
public record EntrySettings(
        InstanceId instance,
        DataCentreId dataCentre,
        String host,
        int callerPort,
        int peerPort,
        Address configurationService,
        Address instanceList,
        PeerKey peerKey,
        long maxBodyBytes,
        Duration maxDeadline,
        Duration drainTimeout,
        PolicySettings policy,
        Optional<OperatorCredential> operatorCredential) {}
