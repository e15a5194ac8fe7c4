package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.ReceivedSums;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.exchange.WorkSums;
import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.LeavingRuns;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.exchange.ExchangeRounds;
import io.bilberrygrade.serving.peer.LeavingRunEntry;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.relay.RelayNaming;
import io.bilberrygrade.serving.room.CapacityCodec;
import io.bilberrygrade.serving.room.RecentSumsFilter;
import io.bilberrygrade.serving.room.SlownessWatch;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Reports to the aggregator the work that this daemon has sent to each endpoint, and receives the
 * sums over all daemons, so that their choices are coordinated. Each daemon makes a few calls a
 * second, whatever the size of the fleet. Answers also carry confirmations of the configuration and
 * endpoints that are leaving, permits for rate-limited endpoints, and crashes of endpoints.
 */
final class WorkExchange implements RecentSumsFilter.SumsSource {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    /** Interval of reports to the standby. */
    private static final Duration STANDBY_INTERVAL = Duration.ofMillis(500);

    /** Interval at which the aggregator calls a seed, which may be unknown to all others. */
    private static final Duration SEED_INTERVAL = Duration.ofMillis(500);

    /** Age of the aggregator's sums from which those of the standby are used. */
    private static final Duration SUMS_STALE_AFTER = Duration.ofMillis(600);

    /** Members that watch the store for all: the aggregator and the standby. */
    private static final int STORE_WATCHERS = 2;

    private final PeerNetwork mNetwork;
    private final FleetView mFleet;
    private final FleetMember mSelf;
    private final WorkLedger mWork;
    private final ConfirmationExchange mConfirmations;
    private final StateController mState;
    private final StoreRelay mRelay;
    private final RateLimitExchange mRateLimits;
    private final CrashExchange mCrashes;
    private final SlownessWatch mSlowness;
    private final RelayNaming mRelays;
    private final Clocks mClocks;
    private final ExchangeRounds mRounds;
    private final WorkSums mSums = new WorkSums();
    private ImmutableMap<EndpointId, EndpointWork> mLastStated = ImmutableMap.of();
    private boolean mCallInFlight;
    private boolean mUrgentCallInFlight;
    private boolean mNoNewSums;
    private int mPendingSeeds;
    private Instant mStandbyCalledAt = Instant.MIN;
    private Instant mSeedCalledAt = Instant.MIN;

    WorkExchange(
            PeerNetwork network,
            FleetView fleet,
            FleetMember self,
            WorkLedger work,
            ConfirmationExchange confirmations,
            StateController state,
            StoreRelay relay,
            RateLimitExchange rateLimits,
            CrashExchange crashes,
            SlownessWatch slowness,
            RelayNaming relays,
            Clocks clocks,
            ExchangeRounds rounds) {
        mNetwork = network;
        mFleet = fleet;
        mSelf = self;
        mWork = work;
        mConfirmations = confirmations;
        mState = state;
        mRelay = relay;
        mRateLimits = rateLimits;
        mCrashes = crashes;
        mSlowness = slowness;
        mRelays = relays;
        mClocks = clocks;
        mRounds = rounds;
    }

    /** Calls all seeds to discover the fleet, and starts the periodic exchange. */
    void start() {
        ImmutableList<Address> seeds = mFleet.seeds();
        mPendingSeeds = seeds.size();
        if (seeds.isEmpty()) {
            mState.onPeersAsked();
        }
        seeds.forEach(s -> call(s, mWork.ownWork()).subscribe().with(v -> onSeedDone()));
        mRounds.repeat(this::exchange);
    }

    /**
     * Marks peers as asked if this daemon is the aggregator (the oldest); otherwise it has to ask
     * the aggregator first.
     */
    private void onSeedDone() {
        mPendingSeeds--;
        if (mPendingSeeds == 0 && mFleet.isAggregator(mClocks.now())) {
            mState.onPeersAsked();
        }
    }

    /** Runs a round and returns the interval until the next one. */
    private Duration exchange(Instant now) {
        ImmutableMap<EndpointId, EndpointWork> own = mWork.ownWork();
        boolean quiet = mNoNewSums && own.equals(mLastStated);
        mLastStated = own;
        mSlowness.onExchange(now);
        mSums.recordReport(mSelf.address(), own, now);
        mRateLimits.update(now);
        mCrashes.update(now);
        if (mFleet.isAggregator(now)) {
            applyOwnSums(own, now);
        } else if (!mCallInFlight) {
            Uni<Void> call = call(mFleet.aggregator(now).address(), own);
            mCallInFlight = true;
            call.subscribe().with(v -> {});
        }
        callOthers(own, now);
        Duration interval = mFleet.exchangeInterval(quiet, now);
        mSlowness.onScheduled(now.plus(interval));
        return interval;
    }

    /**
     * Asks the aggregator for permits without waiting for the next report; completes once it has
     * answered or failed.
     */
    Uni<Void> requestPermits() {
        Instant now = mClocks.now();
        if (mFleet.isAggregator(now)) {
            mRateLimits.update(now);
            return Uni.createFrom().voidItem();
        }
        return call(mFleet.aggregator(now).address(), mWork.ownWork());
    }

    @Override
    public Optional<Duration> age(Instant now) {
        return mWork.receivedSums().age(now);
    }

    @Override
    public Duration interval(Instant now) {
        return mFleet.exchangeInterval(false, now);
    }

    @Override
    public Uni<Void> refresh() {
        Instant now = mClocks.now();
        ImmutableMap<EndpointId, EndpointWork> own = mWork.ownWork();
        if (!mFleet.isAggregator(now)) {
            return call(mFleet.aggregator(now).address(), own);
        }
        mSums.recordReport(mSelf.address(), own, now);
        applyOwnSums(own, now);
        return Uni.createFrom().voidItem();
    }

    /**
     * Reports to the aggregator without waiting for the next report. What becomes known during such
     * a call follows with the periodic one.
     */
    @Override
    public void reportNow() {
        Instant now = mClocks.now();
        if (!mUrgentCallInFlight && !mFleet.isAggregator(now)) {
            Uni<Void> call = call(mFleet.aggregator(now).address(), mWork.ownWork());
            mUrgentCallInFlight = true;
            call.onTermination()
                    .invoke(() -> mUrgentCallInFlight = false)
                    .subscribe()
                    .with(v -> {});
        }
    }

    private void applyOwnSums(ImmutableMap<EndpointId, EndpointWork> own, Instant now) {
        ReceivedSums received = mWork.receivedSums();
        long asked = received.version(mSelf);
        WorkSums.Update update = mSums.since(asked, now);
        mNoNewSums = update.sums().isEmpty();
        received.apply(mSelf, asked, update, own, now);
    }

    /**
     * Reports to the standby. A daemon that takes itself for the aggregator also asks the seeds
     * whether there is an older one.
     */
    private void callOthers(ImmutableMap<EndpointId, EndpointWork> own, Instant now) {
        Optional<Address> standby =
                mFleet.standby(now).filter(m -> !m.equals(mSelf)).map(FleetMember::address);
        if (standby.isPresent() && !mStandbyCalledAt.plus(STANDBY_INTERVAL).isAfter(now)) {
            mStandbyCalledAt = now;
            call(standby.get(), own).subscribe().with(v -> {});
        }
        if (mFleet.isAggregator(now) && !mSeedCalledAt.plus(SEED_INTERVAL).isAfter(now)) {
            mSeedCalledAt = now;
            mFleet.nextSeed().ifPresent(s -> call(s, own).subscribe().with(v -> {}));
        }
    }

    /** Calls a peer; completes once it has answered or failed. */
    private Uni<Void> call(Address peer, ImmutableMap<EndpointId, EndpointWork> own) {
        ClockReading askedAt = mClocks.read();
        Instant now = mClocks.now();
        FleetMember aggregator = mFleet.aggregator(now);
        boolean primary = aggregator.address().equals(peer);
        long version = primary ? mWork.receivedSums().version(aggregator) : versionForOthers(now);
        StorePosition store = mRelay.position();
        PeerMessage.Work statement =
                new PeerMessage.Work(
                        mSelf.address().toString(),
                        version,
                        WorkCodec.entries(own),
                        WorkCodec.leaving(mState.endpoints().leaving().recentRuns(now)),
                        store.era(),
                        store.revision(),
                        mRateLimits.report(peer, now),
                        mCrashes.report(peer, now),
                        CapacityCodec.own(mFleet.capacities()),
                        mRelays.ownPort());
        return mNetwork.call(peer, statement, CALL_TIMEOUT)
                .onTermination()
                .invoke(() -> mCallInFlight &= !primary)
                .onItem()
                .invoke(
                        reply -> {
                            mSlowness.onResponse(now, mClocks.now());
                            if (reply instanceof PeerMessage.WorkHeard h && isWellFormed(h)) {
                                onAnswer(peer, h, new CallContext(version, own, askedAt, store));
                            }
                        })
                .onFailure()
                .invoke(e -> onCallFailed(peer))
                .replaceWithVoid()
                .onFailure()
                .recoverWithNull();
    }

    private void onCallFailed(Address peer) {
        mFleet.recordFailure(peer, mClocks.now());
        mCrashes.onCallFailed(peer);
    }

    /**
     * Returns the version to ask of peers other than the aggregator: their sums are requested only
     * if those at hand are stale.
     */
    private long versionForOthers(Instant now) {
        return hasStaleSums(now) ? 0 : PeerMessage.Work.NO_SUMS;
    }

    private boolean hasStaleSums(Instant now) {
        return mWork.receivedSums()
                .age(now)
                .filter(a -> a.compareTo(SUMS_STALE_AFTER) < 0)
                .isEmpty();
    }

    private static boolean isWellFormed(PeerMessage.WorkHeard h) {
        return h.sums() != null && h.aggregators() != null && h.leaving() != null;
    }

    private void onAnswer(Address peer, PeerMessage.WorkHeard h, CallContext asked) {
        Instant now = mClocks.now();
        FleetMember source = new FleetMember(peer, h.startedAtMillis());
        CapacityCodec.apply(mFleet.capacities(), peer, h.capacities(), h.aggregators(), now);
        mFleet.recordContact(source, now);
        mFleet.recordNamed(WorkCodec.members(h.aggregators()), h.fleet(), now);
        ImmutableList<FleetMember> aggregators = mFleet.aggregators(now);
        FleetMember aggregator = aggregators.getFirst();
        if (!aggregator.equals(mSelf) && (aggregator.equals(source) || hasStaleSums(now))) {
            applySums(source, h, asked, now);
        }
        applyLeaving(h.leaving(), peer.toString());
        mState.evacuations().onPeerEntries(h.evacuations(), peer.toString());
        mRateLimits.apply(peer, h.rateLimits(), asked.at().steady(), now);
        mCrashes.apply(peer, h.crashes(), now);
        mConfirmations.onPeerConfirmation(Optional.ofNullable(h.confirmation()), peer, asked.at());
        if (aggregator.equals(source)) {
            mState.onPeersAsked();
        }
        // The aggregator and the standby watch the store themselves; all take the changes from
        // both, since either may be cut off from the store without having noticed it.
        ImmutableList<FleetMember> watching =
                aggregators.subList(0, Math.min(STORE_WATCHERS, aggregators.size()));
        if (watching.contains(source)
                && h.store() != null
                && mState.evacuations().isRelayedWith(h.evacuations())) {
            mRelay.applyPeerChanges(h.store(), asked.store(), !watching.contains(mSelf));
        }
    }

    private void applySums(
            FleetMember source, PeerMessage.WorkHeard h, CallContext asked, Instant now) {
        if (asked.version() == PeerMessage.Work.NO_SUMS) {
            return;
        }
        mNoNewSums = h.sums().isEmpty();
        mWork.receivedSums()
                .apply(
                        source,
                        asked.version(),
                        new WorkSums.Update(h.version(), h.whole(), WorkCodec.work(h.sums())),
                        asked.own(),
                        now);
    }

    /** Records a peer's report and returns the sums. */
    PeerMessage answer(PeerIdentity from, PeerMessage.Work work) {
        if (work.entries() == null || work.leaving() == null || work.address() == null) {
            return new PeerMessage.Failure("the statement lacks a part");
        }
        Optional<FleetMember> member = WorkCodec.member(work.address(), from.incarnation().value());
        if (member.isEmpty()) {
            return new PeerMessage.Failure("the address can't be read");
        }
        Instant now = mClocks.now();
        mFleet.recordContact(member.get(), now);
        mFleet.capacities()
                .recordOwnStatement(
                        member.get().address(), CapacityCodec.statement(work.capacity()), now);
        mRelays.onReport(member.get().address(), work.relay());
        mSums.recordReport(member.get().address(), WorkCodec.work(work.entries()), now);
        applyLeaving(work.leaving(), work.address());
        mRelay.onPeerPosition(new StorePosition(work.storeEra(), work.storeRevision()));
        return reply(member.get().address(), work, now);
    }

    /** Returns what names the members that take over requests. */
    RelayNaming relays() {
        return mRelays;
    }

    private void applyLeaving(List<LeavingRunEntry> leaving, String source) {
        WorkCodec.runs(leaving).forEach(r -> mState.onEndpointLeaving(r, source));
    }

    private PeerMessage.WorkHeard reply(Address from, PeerMessage.Work work, Instant now) {
        WorkSums.Update update =
                work.version() == PeerMessage.Work.NO_SUMS
                        ? new WorkSums.Update(0, false, ImmutableMap.of())
                        : mSums.since(work.version(), now);
        StorePosition asked = new StorePosition(work.storeEra(), work.storeRevision());
        LeavingRuns runs = mState.endpoints().leaving();
        ImmutableList<EndpointRun> leaving =
                work.version() == 0 ? runs.latestRuns() : runs.recentRuns(now);
        ImmutableList<FleetMember> aggregators = mFleet.contactedAggregators(now);
        return new PeerMessage.WorkHeard(
                mSelf.startedAtMillis(),
                update.version(),
                update.whole(),
                WorkCodec.entries(update.sums()),
                WorkCodec.fleet(aggregators),
                mFleet.knownSize(now),
                mConfirmations.ownConfirmation(),
                WorkCodec.leaving(leaving),
                mRelay.changesSince(asked),
                mRateLimits.answer(from, work.rateLimits(), now),
                mCrashes.answer(from, work.crashes(), now),
                CapacityCodec.reply(mFleet.capacities(), aggregators, now),
                mState.evacuations().entriesAfter(asked));
    }

    /** State of a call: what it reported and asked for, and when. */
    private record CallContext(
            long version,
            ImmutableMap<EndpointId, EndpointWork> own,
            ClockReading at,
            StorePosition store) {}
}
