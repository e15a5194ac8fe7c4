package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.ExchangePace;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.exchange.WorkSums;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.SendingWork;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Plays one pattern with one policy; the same seed gives the same arrivals for every policy. */
final class PatternRun {
    /** Way from the daemon to an engine and back with the first event. */
    private static final double WAY_MILLIS = 3;

    /** Times that a caller comes back after a refusal, and how much later. */
    private static final int RETRIES = 1;

    /** Time until a daemon sees that an engine has crashed. */
    private static final double RESET_MILLIS = 20;

    private static final double RETRY_AFTER_MILLIS = 1_000;

    private static final double TAIL_MILLIS = 15_000;

    /** Way of a call or an answer between daemons. */
    private static final double PEER_WAY_MILLIS = 2;

    /** Span over which daemons make their first calls, so that they don't call in step. */
    private static final int FIRST_EXCHANGE_MILLIS = 100;

    private static final FleetMember AGGREGATOR = new FleetMember(new Address("127.0.0.1", 1), 1);

    private final PatternPolicy mPolicy;
    private final FleetSheet mFleet;
    private final EngineCost mCost;
    private final VirtualClock mClock = new VirtualClock();
    private final Map<EndpointId, PassEngine> mEngines = new HashMap<>();
    private final List<WorkLedger> mDaemons = new ArrayList<>();
    private final WorkSums mSums = new WorkSums();
    private final Map<PatternRequest, Sending> mRunning = new LinkedHashMap<>();
    private final List<PatternRequest> mRequests = new ArrayList<>();
    private final UniformRandomProvider mRandom;
    private final UniformRandomProvider mMixing;
    private long mTurn;

    PatternRun(PatternPolicy policy, FleetSheet fleet, long seed) {
        mPolicy = policy;
        mFleet = fleet;
        mCost = fleet.cost();
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mMixing = RandomSource.SPLIT_MIX_64.create(seed);
        for (int i = 0; i < fleet.engines(); i++) {
            RegisteredEndpoint endpoint = endpoint(i);
            mEngines.put(endpoint.id(), new PassEngine(endpoint, mCost, mClock));
        }
        for (int i = 0; i < fleet.daemons(); i++) {
            mDaemons.add(new WorkLedger());
        }
    }

    private RegisteredEndpoint endpoint(int number) {
        return new RegisteredEndpoint(
                new EndpointId("e" + number),
                1,
                new ServiceId("engines"),
                new Address("127.0.0.1", number + 1),
                new DataCentreId("dc"),
                mCost.slots(),
                false);
    }

    /** Plays the pattern and returns all requests. */
    ImmutableList<PatternRequest> play(LoadPattern pattern) {
        mFleet.classes().forEach(c -> arrivals(pattern, c));
        for (int daemon = 0; daemon < mDaemons.size(); daemon++) {
            int number = daemon;
            mClock.after(mMixing.nextInt(FIRST_EXCHANGE_MILLIS), () -> exchange(number));
        }
        mClock.after(pattern.lengthMillis() / 2, () -> crash(pattern.crashedPart()));
        mClock.runUntil(pattern.lengthMillis() + TAIL_MILLIS);
        return ImmutableList.copyOf(mRequests);
    }

    private void arrivals(LoadPattern pattern, PatternClass c) {
        double at = 0;
        double most = pattern.most(c.name()) * c.perSecond() / 1_000;
        while (at < pattern.lengthMillis()) {
            at += -Math.log(1 - mRandom.nextDouble()) / most;
            double rate = pattern.factor(c.name(), at) * c.perSecond() / 1_000;
            long tokens = c.tokens(mRandom);
            int daemon = mRandom.nextInt(mDaemons.size());
            if (mRandom.nextDouble() * most < rate) {
                mClock.after(at, () -> arrive(c, tokens, daemon, RETRIES));
            }
        }
    }

    private void arrive(PatternClass c, long tokens, int daemon, int retries) {
        PatternRequest request = new PatternRequest(c, tokens, mClock.nowMillis());
        mRequests.add(request);
        ask(request, daemon, retries);
    }

    /** Has a daemon send the request, or the caller come back once if it is turned away. */
    private void ask(PatternRequest request, int daemon, int retries) {
        StreamNeed need = request.ofClass().need(request.tokens());
        ImmutableList<Candidate> candidates = candidates(daemon);
        if (!mPolicy.refuses(need, mCost, candidates)) {
            StreamPlacement placed = mPolicy.place(need, mCost, candidates, mTurn++);
            send(new Sending(request.ofClass(), need, placed, daemon), request);
        } else if (retries > 0) {
            int other = mRandom.nextInt(mDaemons.size());
            mClock.after(RETRY_AFTER_MILLIS, () -> ask(request, other, retries - 1));
        }
    }

    /** Ends engines; what was sent to them is sent again once daemons see the connections reset. */
    private void crash(double part) {
        List<EndpointId> ids = new ArrayList<>(mEngines.keySet());
        Collections.sort(ids, Comparator.comparing(EndpointId::value));
        Collections.shuffle(ids, mMixing::nextLong);
        List<EndpointId> crashed = ids.subList(0, (int) (ids.size() * part));
        crashed.forEach(id -> mEngines.remove(id).crash());
        List<Map.Entry<PatternRequest, Sending>> hit =
                mRunning.entrySet().stream().filter(e -> e.getValue().needs(crashed)).toList();
        for (Map.Entry<PatternRequest, Sending> e : hit) {
            mRunning.remove(e.getKey());
            mClock.after(RESET_MILLIS, () -> sendAgain(e.getKey(), e.getValue()));
        }
    }

    private void sendAgain(PatternRequest request, Sending lost) {
        lost.ended(mDaemons.get(lost.daemon()));
        ask(request, lost.daemon(), 0);
    }

    private ImmutableList<Candidate> candidates(int daemon) {
        WorkLedger ledger = mDaemons.get(daemon);
        List<Candidate> candidates = new ArrayList<>();
        mEngines.values()
                .forEach(
                        e ->
                                candidates.add(
                                        new Candidate(
                                                e.endpoint(),
                                                ledger.of(e.endpoint().id(), mClock.now()))));
        Collections.shuffle(candidates, mMixing::nextLong);
        return ImmutableList.copyOf(candidates);
    }

    private void send(Sending sending, PatternRequest request) {
        StreamPlacement placed = sending.placed();
        mRunning.put(request, sending);
        sending.started(mDaemons.get(sending.daemon()));
        double end = sending.placed().readByMillis() + SendingWork.PASS.toMillis();
        mClock.after(
                end,
                () -> {
                    sending.readDone(mDaemons.get(sending.daemon()));
                });
        request.sent(
                () -> firstEvent(sending),
                () -> {
                    mRunning.remove(request);
                    ended(sending);
                });
        mClock.after(
                WAY_MILLIS,
                () ->
                        engine(placed.first().id())
                                .ifPresent(e -> e.admit(() -> read(sending, request, e))));
    }

    private Optional<PassEngine> engine(EndpointId id) {
        return Optional.ofNullable(mEngines.get(id));
    }

    private void read(Sending sending, PatternRequest request, PassEngine first) {
        int parts = sending.placed().helpers().size() + 1;
        double tokens = (double) request.tokens() / parts;
        double millis = mCost.readMillis(request.tokens()) / parts;
        int[] left = {parts};
        Runnable done =
                () -> {
                    left[0]--;
                    if (left[0] == 0 && sending.equals(mRunning.get(request))) {
                        request.divideContext(sending.placed().reservations().isEmpty() ? 1 : 2);
                        first.write(request);
                    }
                };
        first.read(tokens, millis, false, done);
        sending.placed()
                .helpers()
                .forEach(h -> engine(h.id()).ifPresent(e -> e.read(tokens, millis, true, done)));
    }

    private void firstEvent(Sending sending) {
        mClock.after(
                WAY_MILLIS,
                () -> {
                    sending.firstEvent(mDaemons.get(sending.daemon()));
                });
    }

    private void ended(Sending sending) {
        mClock.after(
                WAY_MILLIS,
                () -> {
                    sending.ended(mDaemons.get(sending.daemon()));
                });
    }

    /** Has a daemon state its work and hear the sums of all, again and again. */
    private void exchange(int daemon) {
        WorkLedger ledger = mDaemons.get(daemon);
        ImmutableMap<EndpointId, EndpointWork> own = ledger.own();
        long version = ledger.heard().version(AGGREGATOR);
        mClock.after(
                PEER_WAY_MILLIS,
                () -> {
                    mSums.stated(new Address("127.0.0.1", daemon + 1), own, mClock.now());
                    WorkSums.Update update = mSums.since(version, mClock.now());
                    mClock.after(
                            PEER_WAY_MILLIS,
                            () ->
                                    ledger.heard()
                                            .heard(AGGREGATOR, version, update, own, mClock.now()));
                });
        mClock.after(
                (double) ExchangePace.pause(mDaemons.size(), false).toMillis(),
                () -> exchange(daemon));
    }
}
