package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PeerKey;
import io.bilberrygrade.serving.settings.PlacementKind;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.serving.wire.InstanceDocument;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulated daemons with their endpoints, platform and callers, on virtual time. */
final class Fleet {
    static final int DAEMONS = 4;
    static final int ENGINES = 3;

    private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
    private static final Duration FINAL_SETTLE_TIME = Duration.ofSeconds(50);
    private static final int MAX_CLOCK_OFFSET_MILLIS = 2_000;

    private final UniformRandomProvider mRandom;
    private final VirtualTime mTime = new VirtualTime();
    private final Oracle mOracle = new Oracle();
    private final SimulatedNetwork mNetwork;
    private final SimulatedService mService;
    private final SimulatedPlatform mPlatform;
    private final List<SimulatedEngine> mEngines = new ArrayList<>();
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    private final SimulatedCallers mCallers;
    private final ImmutableSet<Mechanism> mDisabled;
    private long mNextIncarnation = 1;
    private int mFaults;
    private int mSteps;

    /** Creates a healthy fleet in which all daemons are ready. */
    Fleet(long seed, ImmutableSet<Mechanism> disabled) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mDisabled = disabled;
        mNetwork = new SimulatedNetwork(mRandom);
        mService = new SimulatedService(mNetwork, mTime, mOracle);
        mPlatform = new SimulatedPlatform(mNetwork, parts(), instances());
        for (int i = 0; i < ENGINES; i++) {
            EndpointId id = new EndpointId("engine-" + i);
            mEngines.add(new SimulatedEngine(mNetwork, mTime, id, mOracle));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add(startDaemon(i));
        }
        mCallers = new SimulatedCallers(mTime, mOracle, mNetwork);
        mTime.advance(SETTLE_TIME);
    }

    /** Executes one step. */
    void apply(FaultStep step) {
        mSteps++;
        mFaults += step.isFault() ? 1 : 0;
        switch (step) {
            case FaultStep.Advance a -> mTime.advance(Duration.ofMillis(a.millis()));
            case FaultStep.IssueKey i -> mCallers.issueKey(daemon(i.daemon()));
            case FaultStep.Submit s -> mCallers.submit(daemon(s.daemon()), s);
            case FaultStep.Complete c -> mCallers.complete(daemon(c.daemon()), c);
            case FaultStep.LeaveCaller l -> mCallers.disconnect(l.requestAge());
            case FaultStep.Kill k -> daemon(k.daemon()).process().kill();
            case FaultStep.Restart r -> restart(r.daemon());
            case FaultStep.Pause p ->
                    daemon(p.daemon()).process().pause(Duration.ofMillis(p.millis()));
            case FaultStep.ShutDown s -> shutDown(daemon(s.daemon()));
            case FaultStep.Cut c ->
                    mNetwork.cut(daemon(c.from()).address(), daemon(c.to()).address());
            case FaultStep.DoubleMessages d -> mNetwork.duplicateMessages();
            case FaultStep.HealNetwork h -> mNetwork.heal();
            case FaultStep.ServiceFault s -> mService.setMode(s.mode());
            case FaultStep.EngineFault e -> mEngines.get(e.engine()).setMode(e.mode());
            case FaultStep.Publish p -> publish(p.valid());
            case FaultStep.PlatformDown p -> mPlatform.setDown(p.down());
            case FaultStep.PlatformStale p -> mPlatform.setStale(p.stale());
        }
    }

    private void publish(boolean valid) {
        if (valid) {
            mPlatform.publish();
        } else {
            mPlatform.publishInvalid();
        }
    }

    private void shutDown(SimulatedDaemon daemon) {
        if (daemon.process().alive()) {
            daemon.process().schedule(Duration.ZERO, daemon::shutDown);
        }
    }

    private void restart(int index) {
        if (!daemon(index).process().alive()) {
            mDaemons.set(index, startDaemon(index));
        }
    }

    private SimulatedDaemon startDaemon(int index) {
        Duration offset = Duration.ofMillis(mRandom.nextInt(MAX_CLOCK_OFFSET_MILLIS));
        SimulatedProcess process = new SimulatedProcess(mTime, offset);
        Address address = new Address("10.0.0." + index, 1);
        SimulatedDaemon daemon =
                new SimulatedDaemon(
                        this,
                        settings(index, address),
                        address,
                        new Incarnation(mNextIncarnation++),
                        process);
        mNetwork.attach(address, daemon);
        daemon.start();
        return daemon;
    }

    /** Ends all faults, lets the fleet settle and checks its final state. */
    void finish() {
        mNetwork.heal();
        mPlatform.setDown(false);
        mPlatform.setStale(false);
        mPlatform.publish();
        mService.setMode(SimulatedService.ServiceMode.HEALTHY);
        mEngines.forEach(e -> e.setMode(SimulatedEngine.EngineMode.HEALTHY));
        mTime.advance(FINAL_SETTLE_TIME);
        mOracle.checkAllAnswered();
        for (SimulatedEngine engine : mEngines) {
            mOracle.check(engine.sessions() == 0, "an engine still has sessions");
        }
        List<SimulatedDaemon> live = mDaemons.stream().filter(d -> d.process().alive()).toList();
        for (SimulatedDaemon daemon : live) {
            mOracle.check(
                    daemon.configVersion() == mPlatform.latestValidVersion(),
                    daemon.identity() + " has version " + daemon.configVersion());
            mOracle.check(
                    daemon.members().size() == live.size() - 1,
                    daemon.identity() + " has members " + daemon.members());
        }
        mOracle.verify();
    }

    /** Throws an {@link AssertionError} if an invariant has been violated. */
    void verify() {
        mOracle.verify();
    }

    int steps() {
        return mSteps;
    }

    int faults() {
        return mFaults;
    }

    Oracle oracle() {
        return mOracle;
    }

    SimulatedNetwork network() {
        return mNetwork;
    }

    SimulatedPlatform platform() {
        return mPlatform;
    }

    SimulatedService service() {
        return mService;
    }

    SimulatedEngine engine(EndpointId id) {
        return mEngines.get(Integer.parseInt(id.value().substring("engine-".length())));
    }

    long nextSeed() {
        return mRandom.nextLong();
    }

    private SimulatedDaemon daemon(int index) {
        return mDaemons.get(index);
    }

    private EntrySettings settings(int index, Address address) {
        Address unused = new Address("10.0.1.0", 1);
        return new EntrySettings(
                new InstanceId("entry-" + index),
                new DataCentreId("dc-1"),
                address.host(),
                1,
                address.port(),
                unused,
                unused,
                PeerKey.of("key".getBytes(StandardCharsets.UTF_8)),
                1 << 20,
                Duration.ofMinutes(1),
                Duration.ofSeconds(30),
                new PolicySettings(PlacementKind.PREDICTIVE, mDisabled),
                Optional.empty());
    }

    private static ImmutableMap<String, String> parts() {
        String digest =
                Hashing.sha256()
                        .hashString(SimulatedPlatform.CREDENTIAL, StandardCharsets.UTF_8)
                        .toString();
        StringBuilder endpoints = new StringBuilder("endpoints:\n");
        for (int i = 0; i < ENGINES; i++) {
            endpoints.append(
                    String.format(
                            "- {id: engine-%d, data_centre: dc-1, address: \"10.0.2.%d:1\","
                                    + " models: [%s], memory_tokens: 400000}%n",
                            i, i, SimulatedPlatform.MODEL));
        }
        endpoints.append(
                "- {id: account, data_centre: dc-1, address: \"10.0.3.0:1\", service: account}\n");
        return ImmutableMap.of(
                "teams", "teams: [{id: team, credential_sha256: \"" + digest + "\"}]",
                "models",
                        "models: [{id: " + SimulatedPlatform.MODEL + ", version: 1, adapters: []}]",
                "endpoints", endpoints.toString());
    }

    private static ImmutableList<InstanceDocument> instances() {
        ImmutableList.Builder<InstanceDocument> instances = ImmutableList.builder();
        for (int i = 0; i < DAEMONS; i++) {
            instances.add(
                    new InstanceDocument("entry-" + i, "dc-1", "10.0.0." + i, 1, "entry", "live"));
        }
        return instances.build();
    }
}
