package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
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
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Owns what the daemon believes of the published state: the configuration, how fresh it is, and the
 * endpoints. Never goes back to an older version.
 */
final class StateController {
    private static final String STORE = "store";

    /** Longest wait for the first configuration and list of endpoints after a start. */
    private static final Duration START_TIME = Duration.ofMillis(1_500);

    /**
     * Longest wait for a confirmation; the store answers in some ms, if slow in a quarter second.
     */
    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(400);

    private final Clocks mClocks;
    private final EventLog mEvents;
    private final FreshnessLease mLease;
    private final EndpointDirectory mDirectory = new EndpointDirectory();
    private final StoreEra mEra = new StoreEra();
    private final StartGate mStartGate;
    private Optional<PublishedConfig> mPublished = Optional.empty();
    private StorePosition mConfigAt = StorePosition.NONE;
    private StorePosition mStore = StorePosition.NONE;
    private final Timers mTimers;
    private final List<Runnable> mAwaiting = new ArrayList<>();
    private Optional<Instant> mLostAt = Optional.empty();

    StateController(Duration keyStaleness, Clocks clocks, Timers timers, EventLog events) {
        mClocks = clocks;
        mTimers = timers;
        mEvents = events;
        mLease = new FreshnessLease(keyStaleness);
        mStartGate = new StartGate(clocks.now());
    }

    /** Returns the configuration in force. */
    Optional<ForwardingConfig> config() {
        return mPublished.map(PublishedConfig::config);
    }

    /** Returns the configuration in force with its document, for peers that lack it. */
    Optional<PublishedConfig> published() {
        return mPublished;
    }

    /** Returns the version in force; -1 before there is one. */
    long version() {
        return mPublished.map(PublishedConfig::version).orElse(-1L);
    }

    /** Returns where in the store the configuration in force was last seen. */
    StorePosition configAt() {
        return mConfigAt;
    }

    /** Returns the store's present era, as far as this daemon has noticed. */
    long era() {
        return mEra.present();
    }

    /**
     * Takes note of the era that an answer names; returns whether the answer counts. In a new era
     * the configuration in force stays, and so do the endpoints that are known, until the store has
     * been written again.
     */
    boolean counts(StorePosition store) {
        long before = mEra.present();
        return switch (mEra.judge(store.era())) {
            case PRESENT -> true;
            case ENDED -> false;
            case BEGUN -> {
                mStore = store;
                mDirectory.storeCameBackOlder(mClocks.now());
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

    /** Returns whether a configuration and the endpoints are known, as far as peers know them. */
    boolean complete() {
        return mPublished.isPresent() && mDirectory.known() && peersAsked();
    }

    /** Returns whether a daemon that has just started has heard what its peers have in force. */
    boolean peersAsked() {
        return mStartGate.open(version(), mClocks.now());
    }

    /** States that the daemon that sums up for the fleet was asked, or that there is none. */
    void askedPeers() {
        mStartGate.asked();
        noteKnowledge();
    }

    /**
     * Completes once the state is complete and fresh, or after a while; at once if the store is
     * known to be out of reach.
     */
    Uni<Void> awaitKnowledge() {
        if (mLostAt.isPresent() && mPublished.isPresent()) {
            return Uni.createFrom().voidItem();
        }
        Uni<Void> known = Uni.createFrom().emitter(e -> mAwaiting.add(() -> e.complete(null)));
        Duration bound = complete() ? CONFIRMATION_TIME : START_TIME;
        return Uni.join().first(known, mTimers.after(bound)).toTerminate();
    }

    private void noteKnowledge() {
        if (complete() && fresh()) {
            List<Runnable> waiting = List.copyOf(mAwaiting);
            mAwaiting.clear();
            waiting.forEach(Runnable::run);
        }
    }

    /** Changes the longest time for which a key may be honoured after it was taken away. */
    void setKeyStaleness(Duration keyStaleness) {
        mLease.setBound(keyStaleness);
    }

    /** Returns whether keys may be honoured now. */
    boolean fresh() {
        return mLease.held(mClocks.read());
    }

    /** Returns why a request's key, valid at its arrival, isn't honoured now; empty if it is. */
    Optional<Reason> keyWithdrawn(ForwardExchange exchange) {
        if (exchange.team().isEmpty()) {
            return Optional.empty();
        }
        if (!fresh()) {
            return Optional.of(Reason.CONFIGURATION_STALE);
        }
        Optional<TeamId> holder =
                config().flatMap(c -> exchange.head().key().flatMap(c.keys()::team));
        return holder.equals(exchange.team())
                ? Optional.empty()
                : Optional.of(Reason.BAD_CREDENTIALS);
    }

    /** Returns the age of the last confirmation. */
    Optional<Duration> confirmedAgo() {
        return mLease.age(mClocks.read());
    }

    /** Takes over a linearizable reading whose call was sent at the given time. */
    void confirmed(PublishedState.ConfigReading reading, ClockReading sentAt) {
        reading.at().ifPresent(at -> seen(reading.config(), at, sentAt));
        mStore = mStore.later(reading.store());
        answered("configuration");
        noteKnowledge();
    }

    private void seen(Optional<PublishedConfig> read, StorePosition at, ClockReading sentAt) {
        long version = read.map(PublishedConfig::version).orElse(version());
        read.ifPresent(c -> apply(c, at, STORE));
        if (LeaseRenewal.renews(version, at.era(), version(), mConfigAt.era())) {
            mLease.confirm(sentAt);
        }
    }

    /**
     * Takes over what a peer that was asked at the given time says of its reading, as far as that
     * speaks of the configuration in force here.
     */
    void confirmed(Confirmation said, ClockReading askedAt) {
        mStartGate.said(said.configVersion());
        Optional<ClockReading> at = mPublished.flatMap(c -> said.confirms(c.version(), askedAt));
        at.ifPresent(
                t -> {
                    mLease.confirm(t);
                    noteKnowledge();
                });
    }

    /** Returns what peers may rely on of the last confirmation; empty if it is void or too old. */
    Optional<Confirmation> confirmation() {
        ClockReading now = mClocks.read();
        return mLease.held(now)
                ? mLease.age(now).map(a -> new Confirmation(version(), mStore, a))
                : Optional.empty();
    }

    /** Takes over all entries of endpoints. */
    void endpointsRead(PublishedState.EndpointsReading reading) {
        answered("endpoints");
        ImmutableList<RegisteredEndpoint> entries = reading.entries();
        entries.forEach(e -> noteChange(e, "list"));
        mDirectory.replace(entries, mClocks.now());
        noteKnowledge();
    }

    /** Takes over changes. */
    void changed(ImmutableList<PublishedState.Change> changes) {
        answered("watch");
        take(changes, "watch", id -> mDirectory.remove(id, mClocks.now()));
    }

    /** Takes over changes that a peer has seen. */
    void relayed(ImmutableList<PublishedState.Change> changes) {
        take(changes, "peer", id -> mDirectory.removeForPeer(id, mClocks.now()));
    }

    private void take(
            ImmutableList<PublishedState.Change> changes,
            String source,
            Consumer<EndpointId> gone) {
        for (PublishedState.Change change : changes) {
            switch (change) {
                case PublishedState.Change.Config c -> apply(c.config(), c.at(), STORE);
                case PublishedState.Change.Endpoint e -> {
                    noteChange(e.entry(), source);
                    mDirectory.put(e.entry(), mClocks.now());
                }
                case PublishedState.Change.EndpointGone g -> {
                    noteGone(g.id(), source);
                    gone.accept(g.id());
                }
            }
        }
    }

    /** States that a call of the store failed. */
    void lost(String call, String error) {
        mDirectory.storeLost();
        if (mLostAt.isEmpty()) {
            mLostAt = Optional.of(mClocks.now());
            mEvents.record(new ForwardEvent.StoreLost(call, error));
        }
    }

    private void answered(String call) {
        Instant now = mClocks.now();
        mDirectory.storeAnswered(now);
        mLostAt.ifPresent(
                t ->
                        mEvents.record(
                                new ForwardEvent.StoreRegained(
                                        call, Duration.between(t, now).toMillis())));
        mLostAt = Optional.empty();
    }

    /** Takes over a configuration that a peer has in force. */
    void handedOn(PublishedConfig config, StorePosition at, String peer) {
        apply(config, at, peer);
        noteKnowledge();
    }

    private void apply(PublishedConfig config, StorePosition at, String source) {
        long inForce = version();
        if (VersionGuard.supersedes(config.version(), inForce)) {
            mPublished = Optional.of(config);
            mConfigAt = at;
            mEvents.record(new ConfigEvent.InForce(config.version(), inForce, source));
        } else if (config.version() < inForce) {
            mEvents.record(new ConfigEvent.StaleOffer(source, config.version(), inForce));
        } else {
            mConfigAt = mConfigAt.later(at);
        }
    }

    private void noteChange(RegisteredEndpoint entry, String source) {
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
     * Takes note that a run of an endpoint asks for no new work, as it said itself in an answer or
     * as a peer has heard.
     */
    void endpointLeaves(EndpointRun run, String source) {
        if (mDirectory.leaves(run, mClocks.now())) {
            String address =
                    mDirectory.find(run.id()).map(e -> e.address().toString()).orElse("unknown");
            recordChange(run.id(), address, "leaving", source);
        }
    }

    private void noteGone(EndpointId id, String source) {
        mDirectory
                .find(id)
                .ifPresent(e -> recordChange(id, e.address().toString(), "gone", source));
    }
}
