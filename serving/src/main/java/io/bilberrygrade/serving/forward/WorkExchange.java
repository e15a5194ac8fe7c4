package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.ExchangePace;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.HeardSums;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.exchange.WorkSums;
import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.LeavingRuns;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.peer.LeavingRunEntry;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Tells the aggregator what this daemon has sent to each endpoint, and hears the sums of all, so
 * that the daemons' choices add up to one. Each daemon makes a few calls a second however many
 * there are. Answers also carry confirmations of the configuration and endpoints that leave.
 */
final class WorkExchange {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    /** Pause between statements to the standby. */
    private static final Duration STANDBY_PAUSE = Duration.ofMillis(500);

    /** Pause between calls of a seed by an aggregator, which nobody else may know. */
    private static final Duration SEED_PAUSE = Duration.ofMillis(500);

    /** Age of the aggregator's sums after which those of the standby are better. */
    private static final Duration STALE = Duration.ofMillis(600);

    private final PeerNetwork mNetwork;
    private final FleetView mFleet;
    private final FleetMember mSelf;
    private final WorkLedger mWork;
    private final Vouching mVouching;
    private final StateController mState;
    private final StoreRelay mRelay;
    private final Clocks mClocks;
    private final Timers mTimers;
    private final WorkSums mSums = new WorkSums();
    private ImmutableMap<EndpointId, EndpointWork> mSaid = ImmutableMap.of();
    private boolean mCalling;
    private boolean mQuiet;
    private int mSeedsToAsk;
    private Instant mStandbyAt = Instant.MIN;
    private Instant mSeedAt = Instant.MIN;

    WorkExchange(
            PeerNetwork network,
            FleetView fleet,
            FleetMember self,
            WorkLedger work,
            Vouching vouching,
            StateController state,
            StoreRelay relay,
            Clocks clocks,
            Timers timers) {
        mNetwork = network;
        mFleet = fleet;
        mSelf = self;
        mWork = work;
        mVouching = vouching;
        mState = state;
        mRelay = relay;
        mClocks = clocks;
        mTimers = timers;
    }

    /** Asks all seeds for the fleet, and states the work and asks for the sums from then on. */
    void start() {
        ImmutableList<Address> seeds = mFleet.seeds();
        mSeedsToAsk = seeds.size();
        if (seeds.isEmpty()) {
            mState.askedPeers();
        }
        seeds.forEach(s -> call(s, mWork.own()).subscribe().with(v -> seedAsked()));
        exchange();
    }

    /** Lets the daemon serve if it is the oldest; otherwise it asks the aggregator first. */
    private void seedAsked() {
        mSeedsToAsk--;
        if (mSeedsToAsk == 0 && mFleet.isAggregator(mClocks.now())) {
            mState.askedPeers();
        }
    }

    private void exchange() {
        Instant now = mClocks.now();
        ImmutableMap<EndpointId, EndpointWork> own = mWork.own();
        boolean quiet = mQuiet && own.equals(mSaid);
        mSaid = own;
        mSums.stated(mSelf.address(), own, now);
        if (mFleet.isAggregator(now)) {
            takeOwnSums(own, now);
        } else if (!mCalling) {
            mCalling = true;
            call(mFleet.aggregator(now).address(), own).subscribe().with(v -> {});
        }
        callOthers(own, now);
        mTimers.after(ExchangePace.pause(mFleet.size(now), quiet))
                .subscribe()
                .with(v -> exchange());
    }

    private void takeOwnSums(ImmutableMap<EndpointId, EndpointWork> own, Instant now) {
        HeardSums heard = mWork.heard();
        long asked = heard.version(mSelf);
        WorkSums.Update update = mSums.since(asked, now);
        mQuiet = update.sums().isEmpty();
        heard.heard(mSelf, asked, update, own, now);
    }

    /**
     * Keeps the standby up to date. A daemon that takes itself for the aggregator asks the seeds
     * whether there is an older one.
     */
    private void callOthers(ImmutableMap<EndpointId, EndpointWork> own, Instant now) {
        Optional<Address> standby =
                mFleet.standby(now).filter(m -> !m.equals(mSelf)).map(FleetMember::address);
        if (standby.isPresent() && !mStandbyAt.plus(STANDBY_PAUSE).isAfter(now)) {
            mStandbyAt = now;
            call(standby.get(), own).subscribe().with(v -> {});
        }
        if (mFleet.isAggregator(now) && !mSeedAt.plus(SEED_PAUSE).isAfter(now)) {
            mSeedAt = now;
            mFleet.nextSeed().ifPresent(s -> call(s, own).subscribe().with(v -> {}));
        }
    }

    /** Calls a peer; completes once it has answered or failed. */
    private Uni<Void> call(Address peer, ImmutableMap<EndpointId, EndpointWork> own) {
        ClockReading askedAt = mClocks.read();
        Instant now = mClocks.now();
        FleetMember aggregator = mFleet.aggregator(now);
        boolean primary = aggregator.address().equals(peer);
        long version = primary ? mWork.heard().version(aggregator) : versionForOthers(now);
        StorePosition store = mRelay.position();
        PeerMessage.Work statement =
                new PeerMessage.Work(
                        mSelf.address().toString(),
                        version,
                        WorkStatements.entries(own),
                        WorkStatements.leaving(mState.endpoints().leaving().news(now)),
                        store.era(),
                        store.revision());
        return mNetwork.call(peer, statement, CALL_TIMEOUT)
                .onTermination()
                .invoke(() -> mCalling &= !primary)
                .onItem()
                .invoke(
                        reply -> {
                            if (reply instanceof PeerMessage.WorkHeard h && wellFormed(h)) {
                                answered(peer, h, new Asked(version, own, askedAt, store));
                            }
                        })
                .onFailure()
                .invoke(e -> mFleet.failed(peer, mClocks.now()))
                .replaceWithVoid()
                .onFailure()
                .recoverWithNull();
    }

    /** Asks others than the aggregator for sums only if its own have become too old. */
    private long versionForOthers(Instant now) {
        return stale(now) ? 0 : PeerMessage.Work.NO_SUMS;
    }

    private boolean stale(Instant now) {
        return mWork.heard().age(now).filter(a -> a.compareTo(STALE) < 0).isEmpty();
    }

    private static boolean wellFormed(PeerMessage.WorkHeard h) {
        return h.sums() != null && h.aggregators() != null && h.leaving() != null;
    }

    private void answered(Address peer, PeerMessage.WorkHeard h, Asked asked) {
        Instant now = mClocks.now();
        FleetMember source = new FleetMember(peer, h.startedAtMillis());
        mFleet.heard(source, now);
        mFleet.named(WorkStatements.members(h.aggregators()), h.fleet(), now);
        ImmutableList<FleetMember> aggregators = mFleet.aggregators(now);
        FleetMember aggregator = aggregators.getFirst();
        if (!aggregator.equals(mSelf) && (aggregator.equals(source) || stale(now))) {
            takeSums(source, h, asked, now);
        }
        learnLeaving(h.leaving(), peer.toString());
        mVouching.heard(Optional.ofNullable(h.confirmation()), peer, asked.at());
        if (aggregator.equals(source)) {
            mState.askedPeers();
        }
        // The standby watches the store itself, since it may have to hand changes on.
        boolean standby = aggregators.size() > 1 && aggregators.get(1).equals(mSelf);
        if (aggregator.equals(source) && !standby && h.store() != null) {
            mRelay.heard(h.store(), asked.store());
        }
    }

    private void takeSums(FleetMember source, PeerMessage.WorkHeard h, Asked asked, Instant now) {
        if (asked.version() == PeerMessage.Work.NO_SUMS) {
            return;
        }
        mQuiet = h.sums().isEmpty();
        mWork.heard()
                .heard(
                        source,
                        asked.version(),
                        new WorkSums.Update(h.version(), h.whole(), WorkStatements.work(h.sums())),
                        asked.own(),
                        now);
    }

    /** Takes a peer's statement in and answers with the sums. */
    PeerMessage answer(PeerIdentity from, PeerMessage.Work work) {
        if (work.entries() == null || work.leaving() == null || work.address() == null) {
            return new PeerMessage.Failure("the statement lacks a part");
        }
        Optional<FleetMember> member =
                WorkStatements.member(work.address(), from.incarnation().value());
        if (member.isEmpty()) {
            return new PeerMessage.Failure("the address can't be read");
        }
        Instant now = mClocks.now();
        mFleet.heard(member.get(), now);
        mSums.stated(member.get().address(), WorkStatements.work(work.entries()), now);
        learnLeaving(work.leaving(), work.address());
        return reply(work, now);
    }

    private void learnLeaving(List<LeavingRunEntry> leaving, String source) {
        WorkStatements.runs(leaving).forEach(r -> mState.endpointLeaves(r, source));
    }

    private PeerMessage.WorkHeard reply(PeerMessage.Work work, Instant now) {
        WorkSums.Update update =
                work.version() == PeerMessage.Work.NO_SUMS
                        ? new WorkSums.Update(0, false, ImmutableMap.of())
                        : mSums.since(work.version(), now);
        LeavingRuns runs = mState.endpoints().leaving();
        ImmutableList<EndpointRun> leaving = work.version() == 0 ? runs.newest() : runs.news(now);
        return new PeerMessage.WorkHeard(
                mSelf.startedAtMillis(),
                update.version(),
                update.whole(),
                WorkStatements.entries(update.sums()),
                WorkStatements.fleet(mFleet.heardAggregators(now)),
                mFleet.size(now),
                mVouching.statement(),
                WorkStatements.leaving(leaving),
                mRelay.since(new StorePosition(work.storeEra(), work.storeRevision())));
    }

    /** What a call stated and asked for, and when. */
    private record Asked(
            long version,
            ImmutableMap<EndpointId, EndpointWork> own,
            ClockReading at,
            StorePosition store) {}
}
