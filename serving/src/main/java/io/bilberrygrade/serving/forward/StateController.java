package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.VersionGuard;
import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.Confirmation;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.FreshnessLease;
import io.bilberrygrade.core.forward.LeaseRenewal;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StartGate;
import io.bilberrygrade.core.forward.StoreEra;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.serving.event.ConfigEvent;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.room.EvacuationController;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Holds this daemon's view of the published state: the configuration, the age of its last
 * confirmation, and the endpoints. Never returns to an older version.
 */
final class StateController {
    private static final String STORE = "store";

    /** Time limit of waiting for the first configuration and list of endpoints after a start. */
    private static final Duration START_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * Time limit of waiting for a confirmation; the store answers in a few ms, or in a quarter of a
     * second when it is slow.
     */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(400);

    private final Clocks mClocks;
    private final EventLog mEvents;
    private final FreshnessLease mLease;
    private final EndpointDirectory mDirectory = new EndpointDirectory();
    private final StoreEra mEra = new StoreEra();
    private final StartGate mStartGate;
    private final EvacuationController mEvacuations;
    private final UnreadableEntryLog mUnreadable;
    private Optional<PublishedConfig> mPublished = Optional.empty();
    private StorePosition mConfigPosition = StorePosition.NONE;
    private StorePosition mStorePosition = StorePosition.NONE;
    private final Timers mTimers;
    private final List<Runnable> mWaiters = new ArrayList<>();
    private Optional<Instant> mStoreLostAt = Optional.empty();

    StateController(Duration keyStaleness, Clocks clocks, Timers timers, EventLog events) {
        mClocks = clocks;
        mTimers = timers;
        mEvents = events;
        mLease = new FreshnessLease(keyStaleness);
        mUnreadable = new UnreadableEntryLog(events);
        mStartGate = new StartGate(clocks.now());
        mEvacuations =
                new EvacuationController(
                        mDirectory, clocks.steady(), mEra::current, timers, events);
    }

    /** Returns the configuration in force. */
    Optional<ForwardingConfig> config() {
        return mPublished.map(PublishedConfig::config);
    }

    /** Returns the configuration in force with its document, for peers that lack it. */
    Optional<PublishedConfig> published() {
        return mPublished;
    }

    /** Returns the version in force; -1 before the first one. */
    long version() {
        return mPublished.map(PublishedConfig::version).orElse(-1L);
    }

    /** Returns the position in the store at which the configuration in force was last read. */
    StorePosition configPosition() {
        return mConfigPosition;
    }

    /** Returns the current era of the store, as known to this daemon. */
    long era() {
        return mEra.current();
    }

    /**
     * Records the era of an answer; returns whether the answer is of the current era. When a new
     * era begins, the configuration in force and the known endpoints stay until the store has been
     * written again.
     */
    boolean observeEra(StorePosition store) {
        long before = mEra.current();
        return switch (mEra.judge(store.era())) {
            case PRESENT -> true;
            case ENDED -> false;
            case BEGUN -> {
                mStorePosition = store;
                mDirectory.onStoreRestored(mClocks.now());
                mEvents.record(
                        new ForwardEvent.StoreCameBackOlder(
                                before, store.era(), store.revision(), version()));
                yield true;
            }
        };
    }

    EndpointDirectory endpoints() {
        return mDirectory;
    }

    /** Returns the controller of the marks of evacuated data centres. */
    EvacuationController evacuations() {
        return mEvacuations;
    }

    /** Returns whether a configuration and the endpoints are known, and peers were asked. */
    boolean isComplete() {
        return mPublished.isPresent() && mDirectory.isLoaded() && hasAskedPeers();
    }

    /**
     * Returns whether a daemon that has just started has learnt the version that its peers have in
     * force, or has waited long enough for it.
     */
    boolean hasAskedPeers() {
        return mStartGate.isOpen(version(), mClocks.now());
    }

    /** Records that the aggregator was asked, or that there is none. */
    void onPeersAsked() {
        mStartGate.recordAggregatorAsked();
        completeWaiters();
    }

    /**
     * Completes once the state is complete and fresh, or after a time limit; immediately if the
     * store is known to be unreachable and a configuration is in force.
     */
    Uni<Void> awaitCurrentState() {
        if (mStoreLostAt.isPresent() && mPublished.isPresent()) {
            return Uni.createFrom().voidItem();
        }
        Uni<Void> known = Uni.createFrom().emitter(e -> mWaiters.add(() -> e.complete(null)));
        Duration bound = isComplete() ? CONFIRMATION_TIMEOUT : START_TIMEOUT;
        return Uni.join().first(known, mTimers.after(bound)).toTerminate();
    }

    private void completeWaiters() {
        if (isComplete() && isFresh()) {
            List<Runnable> waiting = List.copyOf(mWaiters);
            mWaiters.clear();
            waiting.forEach(Runnable::run);
        }
    }

    /** Sets the longest time for which a key may be honoured after it was revoked. */
    void setKeyStaleness(Duration keyStaleness) {
        mLease.setBound(keyStaleness);
    }

    /** Returns whether the last confirmation is recent enough for keys to be honoured. */
    boolean isFresh() {
        return mLease.isHeld(mClocks.read());
    }

    /**
     * Returns why a request's key, valid at its arrival, is rejected now; empty if it is still
     * valid.
     */
    Optional<Reason> keyRejection(ForwardExchange exchange) {
        if (exchange.team().isEmpty()) {
            return Optional.empty();
        }
        if (!isFresh()) {
            return Optional.of(Reason.CONFIGURATION_STALE);
        }
        Optional<TeamId> holder =
                config().flatMap(c -> exchange.head().key().flatMap(c.keys()::team));
        return holder.equals(exchange.team())
                ? Optional.empty()
                : Optional.of(Reason.BAD_CREDENTIALS);
    }

    /** Returns the age of the last confirmation. */
    Optional<Duration> confirmationAge() {
        return mLease.age(mClocks.read());
    }

    /** Applies a linearizable read that was sent at the given time. */
    void onConfirmed(PublishedState.ConfigReading reading, ClockReading sentAt) {
        reading.at().ifPresent(at -> applyReading(reading.config(), at, sentAt));
        mStorePosition = mStorePosition.later(reading.store());
        onStoreAnswer("configuration");
        onUnreadable(reading.unreadable().stream().toList());
        completeWaiters();
    }

    private void applyReading(
            Optional<PublishedConfig> read, StorePosition at, ClockReading sentAt) {
        long version = read.map(PublishedConfig::version).orElse(version());
        read.ifPresent(c -> apply(c, at, STORE));
        if (LeaseRenewal.renews(version, at.era(), version(), mConfigPosition.era())) {
            mLease.confirm(sentAt);
        }
    }

    /**
     * Applies the confirmation of a peer that was asked at the given time, if it is of the
     * configuration in force here.
     */
    void onConfirmed(Confirmation claim, ClockReading askedAt) {
        mStartGate.recordPeerVersion(claim.configVersion());
        Optional<ClockReading> at = mPublished.flatMap(c -> claim.confirms(c.version(), askedAt));
        at.ifPresent(
                t -> {
                    mLease.confirm(t);
                    completeWaiters();
                });
    }

    /**
     * Returns the confirmation that peers may rely on; empty if there is none or it has expired.
     */
    Optional<Confirmation> confirmation() {
        ClockReading now = mClocks.read();
        return mLease.isHeld(now)
                ? mLease.age(now).map(a -> new Confirmation(version(), mStorePosition, a))
                : Optional.empty();
    }

    /** Records the entries that an answer of the store held and that can't be read. */
    void onUnreadable(List<UnreadableEntry> entries) {
        mUnreadable.record(entries);
    }

    /**
     * Replaces the entries of the endpoints after a full read; returns what differs from those that
     * were known.
     */
    ImmutableList<PublishedState.Change> onEndpointsRead(PublishedState.EndpointsReading reading) {
        onStoreAnswer("endpoints");
        onUnreadable(reading.unreadable());
        mEvacuations.onRead(reading.evacuated(), reading.store());
        ImmutableList<RegisteredEndpoint> entries = reading.entries();
        ImmutableList<PublishedState.Change> differences = differences(entries);
        entries.forEach(e -> recordIfChanged(e, "list"));
        differences.forEach(
                c -> {
                    if (c instanceof PublishedState.Change.EndpointGone g) {
                        recordRemoval(g.id(), "list");
                    }
                });
        mDirectory.replace(entries, mClocks.now());
        completeWaiters();
        return differences;
    }

    private ImmutableList<PublishedState.Change> differences(
            ImmutableList<RegisteredEndpoint> entries) {
        ImmutableSet<EndpointId> read =
                entries.stream().map(RegisteredEndpoint::id).collect(ImmutableSet.toImmutableSet());
        Stream<PublishedState.Change> gone =
                mDirectory.ids().stream()
                        .filter(id -> !read.contains(id))
                        .map(PublishedState.Change.EndpointGone::new);
        Stream<PublishedState.Change> changed =
                entries.stream()
                        .filter(e -> !mDirectory.find(e.id()).equals(Optional.of(e)))
                        .map(PublishedState.Change.Endpoint::new);
        return Stream.concat(gone, changed).collect(ImmutableList.toImmutableList());
    }

    /** Applies changes that the watch returned. */
    void onChanges(ImmutableList<PublishedState.Change> changes) {
        onStoreAnswer("watch");
        applyChanges(changes, "watch", id -> mDirectory.remove(id, mClocks.now()));
    }

    /** Applies changes that a peer has seen. */
    void onRelayedChanges(ImmutableList<PublishedState.Change> changes) {
        applyChanges(changes, "peer", id -> mDirectory.removeAsSeenByPeer(id, mClocks.now()));
    }

    private void applyChanges(
            ImmutableList<PublishedState.Change> changes,
            String source,
            Consumer<EndpointId> gone) {
        for (PublishedState.Change change : changes) {
            switch (change) {
                case PublishedState.Change.Config c -> apply(c.config(), c.at(), STORE);
                case PublishedState.Change.Endpoint e -> {
                    recordIfChanged(e.entry(), source);
                    mDirectory.put(e.entry(), mClocks.now());
                }
                case PublishedState.Change.EndpointGone g -> {
                    recordRemoval(g.id(), source);
                    gone.accept(g.id());
                }
                case PublishedState.Change.Evacuation e ->
                        mEvacuations.onChange(e.dataCentre(), e.at(), e.marked());
            }
        }
    }

    /** Records that a call to the store failed. */
    void onStoreFailure(String call, String error) {
        mDirectory.onStoreLost();
        if (mStoreLostAt.isEmpty()) {
            mStoreLostAt = Optional.of(mClocks.now());
            mEvents.record(new ForwardEvent.StoreLost(call, error));
        }
    }

    private void onStoreAnswer(String call) {
        Instant now = mClocks.now();
        mDirectory.onStoreAnswered(now);
        mStoreLostAt.ifPresent(
                t ->
                        mEvents.record(
                                new ForwardEvent.StoreRegained(
                                        call, Duration.between(t, now).toMillis())));
        mStoreLostAt = Optional.empty();
    }

    /** Applies a configuration that a peer has in force. */
    void onPeerConfig(PublishedConfig config, StorePosition at, String peer) {
        apply(config, at, peer);
        completeWaiters();
    }

    private void apply(PublishedConfig config, StorePosition at, String source) {
        long inForce = version();
        if (VersionGuard.supersedes(config.version(), inForce)) {
            mPublished = Optional.of(config);
            mConfigPosition = at;
            mEvents.record(new ConfigEvent.InForce(config.version(), inForce, source));
        } else if (config.version() < inForce) {
            mEvents.record(new ConfigEvent.StaleOffer(source, config.version(), inForce));
        } else {
            mConfigPosition = mConfigPosition.later(at);
        }
    }

    private void recordIfChanged(RegisteredEndpoint entry, String source) {
        Optional<RegisteredEndpoint> old = mDirectory.find(entry.id());
        String change = entry.leaving() ? "leaving" : "ready";
        if (old.isEmpty() || old.get().leaving() != entry.leaving() || !old.get().sameRun(entry)) {
            recordChange(entry.id(), entry.address().toString(), change, source);
        }
    }

    private void recordChange(EndpointId id, String address, String change, String source) {
        mEvents.record(new ForwardEvent.EndpointChanged(id.value(), address, change, source));
    }

    /**
     * Records that a run of an endpoint asks for no new work, as learnt from its own answer or from
     * a peer.
     */
    void onEndpointLeaving(EndpointRun run, String source) {
        if (mDirectory.recordLeaving(run, mClocks.now())) {
            String address =
                    mDirectory.find(run.id()).map(e -> e.address().toString()).orElse("unknown");
            recordChange(run.id(), address, "leaving", source);
        }
    }

    private void recordRemoval(EndpointId id, String source) {
        mDirectory
                .find(id)
                .ifPresent(e -> recordChange(id, e.address().toString(), "gone", source));
    }
}
