package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.Confirmation;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import io.bilberrygrade.serving.peer.StoreChanges;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Two daemons on one store; the first relays the changes that it has seen. */
final class StoreRelayTest {
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final Duration STALENESS = Duration.ofSeconds(5);

    private final VirtualTime mTime = new VirtualTime();
    private final FakeStore mStore = new FakeStore();
    private final Daemon mWatching = new Daemon(true);
    private final Daemon mFollowing = new Daemon(false);

    /** State and reader of one daemon. */
    private final class Daemon {
        private final SimulatedProcess mProcess = new SimulatedProcess(mTime, Duration.ZERO);
        private final Clocks mClocks = new Clocks(mProcess, mProcess);
        private final StateController mState =
                new StateController(STALENESS, mClocks, mProcess, e -> {});
        private final StateReader mReader;
        private final StoreRelay mRelay;

        Daemon(boolean aggregator) {
            mReader =
                    new StateReader(
                            mStore,
                            mState,
                            mClocks,
                            mProcess,
                            RandomSource.SPLIT_MIX_64.create(1),
                            () -> aggregator);
            mRelay = new StoreRelay(mState, mReader, mClocks);
        }

        List<String> usable() {
            return mState.endpoints().usable(SERVICE, mTime.now()).stream()
                    .map(e -> e.id().value())
                    .toList();
        }
    }

    private static RegisteredEndpoint endpoint(String id, boolean leaving) {
        return new RegisteredEndpoint(
                new EndpointId(id),
                1,
                SERVICE,
                new Address("10.0.0.1", 80),
                new DataCentreId("a"),
                4,
                leaving);
    }

    private static StorePosition position(long revision) {
        return new StorePosition(1, revision);
    }

    private void start() {
        mStore.mEntries = ImmutableList.of(endpoint("a", false), endpoint("b", false));
        mWatching.mReader.start();
        mFollowing.mReader.start();
        mTime.advance(Duration.ofSeconds(1));
    }

    /** Has the follower poll the watching daemon every 100 ms for the given time. */
    private void relayFor(Duration span) {
        for (long i = 0; i < span.toMillis() / 100; i++) {
            StorePosition asked = mFollowing.mRelay.position();
            StoreChanges answer = mWatching.mRelay.changesSince(asked);
            if (answer != null) {
                mFollowing.mRelay.applyPeerChanges(answer, asked, true);
            }
            mTime.advance(Duration.ofMillis(100));
        }
    }

    @Test
    void followerAppliesRelayedChangesAndStopsWatching() {
        start();
        relayFor(Duration.ofSeconds(1));
        mStore.change(new Change.Endpoint(endpoint("c", false)));
        relayFor(Duration.ofSeconds(1));
        int watches = mStore.mWatches;
        mStore.change(new Change.Endpoint(endpoint("a", true)));
        mStore.change(new Change.EndpointGone(new EndpointId("b")));
        relayFor(Duration.ofSeconds(1));
        assertThat(mFollowing.usable()).containsExactly("c");
        assertThat(mWatching.usable()).containsExactly("c");
        assertThat(mStore.mWatches - watches).isLessThanOrEqualTo(2);
    }

    @Test
    void followerWatchesAgainOnceChangesAreNoLongerRelayed() {
        start();
        relayFor(Duration.ofSeconds(1));
        mStore.change(new Change.Endpoint(endpoint("c", false)));
        relayFor(Duration.ofSeconds(1));
        mTime.advance(Duration.ofSeconds(2));
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        mTime.advance(Duration.ofMillis(500));
        assertThat(mFollowing.usable()).containsExactly("b", "c");
    }

    @Test
    void daemonThatCannotReachTheStoreRelaysNothing() {
        start();
        assertThat(mWatching.mRelay.changesSince(mFollowing.mRelay.position())).isNotNull();
        mWatching.mState.onStoreFailure("watch", "cut off");
        assertThat(mWatching.mRelay.changesSince(mFollowing.mRelay.position())).isNull();
    }

    @Test
    void entryThatLapsedDuringAnOutageLapsesOnTheFollowerToo() {
        start();
        relayFor(Duration.ofSeconds(1));
        mStore.change(new Change.Endpoint(endpoint("c", false)));
        relayFor(Duration.ofSeconds(1));
        mWatching.mState.onStoreFailure("configuration", "cut off");
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        mTime.advance(Duration.ofMillis(300));
        assertThat(mFollowing.usable()).containsExactly("a", "b", "c");
        mWatching.mReader.confirmNow();
        relayFor(Duration.ofMillis(1_500));
        assertThat(mWatching.usable()).containsExactly("a", "b", "c");
        assertThat(mFollowing.usable()).containsExactly("a", "b", "c");
        relayFor(Duration.ofSeconds(1));
        assertThat(mWatching.usable()).containsExactly("b", "c");
        assertThat(mFollowing.usable()).containsExactly("b", "c");
    }

    @Test
    void daemonWhoseEndpointReadFailsStillReceivesRelayedChanges() {
        start();
        relayFor(Duration.ofSeconds(1));
        mStore.mRejectsEndpoints = true;
        mFollowing.mReader.checkWatch(position(99));
        relayFor(Duration.ofMillis(500));
        mFollowing.mReader.checkWatch(position(99));
        relayFor(Duration.ofSeconds(2));
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        relayFor(Duration.ofSeconds(2));
        assertThat(mWatching.usable()).containsExactly("b");
        assertThat(mFollowing.mRelay.position()).isEqualTo(position(mStore.mRevision));
    }

    @Test
    void removedEndpointIsRemovedOnFollowerWhoseOwnReadFailed() {
        start();
        relayFor(Duration.ofSeconds(1));
        mStore.change(new Change.Endpoint(endpoint("c", false)));
        relayFor(Duration.ofSeconds(1));
        mFollowing.mState.onStoreFailure("configuration", "reset");
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        relayFor(Duration.ofMillis(500));
        assertThat(mFollowing.usable()).containsExactly("b", "c");
    }

    @Test
    void failedReadIsRetriedEvenIfPeersConfirmTheConfiguration() {
        start();
        mStore.mDown = true;
        mFollowing.mReader.confirmNow();
        mTime.advance(Duration.ofMillis(50));
        assertThat(mFollowing.mState.endpoints().isStoreUnreachable()).isTrue();
        mStore.mDown = false;
        for (int i = 0; i < 10; i++) {
            mFollowing.mState.onConfirmed(
                    new Confirmation(1, position(1), Duration.ZERO), mFollowing.mClocks.read());
            mTime.advance(Duration.ofMillis(100));
        }
        assertThat(mFollowing.mState.endpoints().isStoreUnreachable()).isFalse();
    }

    @Test
    void unreachableStoreIsPolledSlowly() {
        start();
        mStore.mDown = true;
        mStore.failWatches();
        mTime.advance(Duration.ofSeconds(3));
        int calls = mStore.mCalls;
        mTime.advance(Duration.ofSeconds(10));
        assertThat(mStore.mCalls - calls).isLessThanOrEqualTo(10 + 10 / 2 + 2);
        mStore.mDown = false;
        mTime.advance(Duration.ofSeconds(3));
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        mTime.advance(Duration.ofSeconds(5));
        assertThat(mWatching.usable()).containsExactly("b");
        assertThat(mFollowing.usable()).containsExactly("b");
    }

    @Test
    void storeWithoutConfigurationIsPolledWithPauses() {
        start();
        int calls = mStore.mCalls;
        mTime.advance(Duration.ofSeconds(1));
        assertThat(mStore.mCalls - calls).isBetween(2, 20);
    }

    // Guards against followers that learn of a removal only once they watch for themselves, since
    // the full read of the daemon that relays has emptied its history.
    @Test
    void removalFoundByFullReadIsRelayed() {
        start();
        mTime.advance(ChangeHistory.ERA_SETTLE_TIME);
        relayFor(Duration.ofSeconds(1));
        mStore.change(new Change.Endpoint(endpoint("c", false)));
        relayFor(Duration.ofSeconds(1));
        int watches = mStore.mWatches;
        mStore.mHistoryLost = true;
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        relayFor(Duration.ofMillis(500));
        assertThat(mWatching.usable()).containsExactly("b", "c");
        assertThat(mFollowing.usable()).containsExactly("b", "c");
        assertThat(mStore.mWatches - watches).isEqualTo(1);
    }

    // Guards against a removal that is noticed only by the next full read.
    @Test
    void silentWatchIsRestartedOnceConfirmationIsAhead() {
        start();
        mStore.mSilent = true;
        mStore.change(new Change.EndpointGone(new EndpointId("a")));
        mStore.mSilent = false;
        mWatching.mReader.checkWatch(position(mStore.mRevision));
        mTime.advance(Duration.ofMillis(401));
        assertThat(mWatching.usable()).containsExactly("b");
        assertThat(mStore.mReconnects).isEqualTo(1);
    }

    /** Store that holds endpoints only and counts the calls. */
    private static final class FakeStore implements PublishedState {
        private final List<UniEmitter<? super Changes>> mWaiting = new ArrayList<>();
        private final TreeMap<Long, Change> mChanges = new TreeMap<>();
        private ImmutableList<RegisteredEndpoint> mEntries = ImmutableList.of();
        private long mRevision = 1;
        private int mWatches;
        private int mCalls;
        private boolean mDown;
        private boolean mRejectsEndpoints;
        private boolean mHistoryLost;
        private boolean mSilent;
        private int mReconnects;

        /** Applies a change and answers the waiting watches. */
        void change(Change change) {
            mRevision++;
            mChanges.put(mRevision, change);
            switch (change) {
                case Change.EndpointGone gone -> mEntries = without(gone.id());
                case Change.Endpoint e ->
                        mEntries =
                                ImmutableList.<RegisteredEndpoint>builder()
                                        .addAll(without(e.entry().id()))
                                        .add(e.entry())
                                        .build();
                case Change.Config c -> {}
                case Change.Evacuation e -> {}
            }
            if (mSilent) {
                return;
            }
            List<UniEmitter<? super Changes>> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(w -> w.complete(after(mRevision - 1)));
            mHistoryLost = false;
        }

        private ImmutableList<RegisteredEndpoint> without(EndpointId id) {
            return mEntries.stream()
                    .filter(e -> !e.id().equals(id))
                    .collect(ImmutableList.toImmutableList());
        }

        private Changes after(long revision) {
            return new Changes(
                    position(mRevision),
                    mHistoryLost,
                    ImmutableList.copyOf(mChanges.tailMap(revision, false).values()));
        }

        void failWatches() {
            List<UniEmitter<? super Changes>> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(w -> w.fail(failure()));
        }

        private CallException failure() {
            return new CallException(
                    Step.MEMBERSHIP, "store", Delivery.MAY_HAVE_RUN, "down for the test");
        }

        @Override
        public Uni<ConfigReading> config(StorePosition known) {
            mCalls++;
            return mDown
                    ? Uni.createFrom().failure(failure())
                    : Uni.createFrom()
                            .item(
                                    new ConfigReading(
                                            Optional.empty(),
                                            Optional.empty(),
                                            position(mRevision)));
        }

        @Override
        public Uni<EndpointsReading> endpoints() {
            mCalls++;
            return mDown || mRejectsEndpoints
                    ? Uni.createFrom().failure(failure())
                    : Uni.createFrom().item(new EndpointsReading(position(mRevision), mEntries));
        }

        @Override
        public Uni<Changes> watch(long afterRevision, Duration wait) {
            mCalls++;
            mWatches++;
            if (mDown) {
                return Uni.createFrom().failure(failure());
            }
            return afterRevision < mRevision
                    ? Uni.createFrom().item(after(afterRevision))
                    : Uni.createFrom().emitter(mWaiting::add);
        }

        @Override
        public void reconnect() {
            mReconnects++;
        }
    }
}
