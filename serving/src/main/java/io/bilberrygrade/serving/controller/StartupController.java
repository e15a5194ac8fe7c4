package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.StartupPolicy;
import io.bilberrygrade.core.config.StartupState;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.ConfigEvent;
import io.bilberrygrade.serving.event.EventLog;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Instant;
import java.time.InstantSource;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;

/** Determines which configuration version a starting daemon may use before it serves. */
public final class StartupController {
    private static final int MAX_ENGINES_ASKED = 16;

    private final ConfigController mConfig;
    private final ConfigGossip mGossip;
    private final Supplier<OptionalInt> mPublishedPeers;
    private final ModelEngine mEngine;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private final Instant mStartedAt;
    private OptionalLong mEngineVersion = OptionalLong.empty();
    private long mReportedVersion = -1;
    private boolean mDone;

    /** Creates the controller of a daemon that starts now. */
    public StartupController(
            ConfigController config,
            ConfigGossip gossip,
            Supplier<OptionalInt> publishedPeers,
            ModelEngine engine,
            InstantSource clock,
            EventLog events) {
        mConfig = config;
        mGossip = gossip;
        mPublishedPeers = publishedPeers;
        mEngine = engine;
        mClock = clock;
        mEvents = events;
        mStartedAt = clock.instant();
    }

    /** Returns whether startup is complete and the daemon may serve. */
    public boolean done() {
        return mDone;
    }

    /** Takes the next startup step; {@code askPeers} starts a round of gossip. */
    public Uni<Void> advance(Runnable askPeers) {
        return switch (StartupPolicy.next(startupState(), mClock.instant())) {
            case ASK_PEERS -> {
                askPeers.run();
                yield Uni.createFrom().voidItem();
            }
            case ASK_ENGINES -> askEngines();
            case AWAIT_VERSION -> {
                reportBelowFloor();
                askPeers.run();
                yield Uni.createFrom().voidItem();
            }
            case SERVE -> {
                mDone = true;
                yield Uni.createFrom().voidItem();
            }
        };
    }

    private StartupState startupState() {
        return new StartupState(
                mStartedAt,
                mPublishedPeers.get(),
                mGossip.answeredPeers(),
                mGossip.highestPeerVersion(),
                mEngineVersion,
                mConfig.current().version());
    }

    private Uni<Void> askEngines() {
        ImmutableList<Endpoint> engines =
                mConfig.current().endpoints().values().stream()
                        .filter(e -> e.kind() instanceof EndpointKind.Engine g && g.checksFencing())
                        .limit(MAX_ENGINES_ASKED)
                        .collect(ImmutableList.toImmutableList());
        return Multi.createFrom()
                .iterable(engines)
                .onItem()
                .transformToUniAndMerge(this::highestToken)
                .collect()
                .asList()
                .invoke(
                        tokens ->
                                mEngineVersion =
                                        OptionalLong.of(
                                                tokens.stream().mapToLong(t -> t).max().orElse(0)))
                .replaceWithVoid();
    }

    private Uni<Long> highestToken(Endpoint engine) {
        return mEngine.state(engine)
                .map(state -> state.highestFencingToken())
                .onFailure(CallException.class)
                .recoverWithItem(0L);
    }

    private void reportBelowFloor() {
        long version = mConfig.current().version();
        long floor = mGossip.highestPeerVersion().orElse(mEngineVersion.orElse(0));
        if (version > 0 && version != mReportedVersion) {
            mReportedVersion = version;
            mEvents.record(new ConfigEvent.BelowFloor(version, floor));
        }
    }
}
