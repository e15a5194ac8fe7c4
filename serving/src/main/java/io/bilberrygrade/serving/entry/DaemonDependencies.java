package io.bilberrygrade.serving.entry;

import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.platform.ConfigSource;
import io.bilberrygrade.serving.platform.DeploymentLoader;
import io.bilberrygrade.serving.platform.InstanceListSource;
import io.bilberrygrade.serving.service.PlainService;
import io.bilberrygrade.serving.time.Timers;
import java.time.InstantSource;
import org.apache.commons.rng.UniformRandomProvider;

/** External dependencies of a daemon: the platform, endpoints, peers, clock and randomness. */
public record DaemonDependencies(
        ConfigSource configuration,
        DeploymentLoader loader,
        InstanceListSource instances,
        PeerNetwork peers,
        ModelEngine engine,
        PlainService service,
        Timers timers,
        InstantSource clock,
        UniformRandomProvider random) {}
