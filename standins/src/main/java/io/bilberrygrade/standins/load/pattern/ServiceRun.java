package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.cost.CostKey;
import io.bilberrygrade.core.cost.CostLearner;
import io.bilberrygrade.core.cost.PredictedPlacement;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.PlainPlacementPolicy;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates the requests of a fleet to a plain service. Endpoints run as many requests as they have
 * slots, the others in order of arrival. A seed gives the same arrivals and costs for every policy.
 */
final class ServiceRun {
    /** Time before which answers aren't counted, since nothing is learned yet. */
    private static final double WARM_UP_MILLIS = 60_000;

    private static final double LENGTH_MILLIS = 180_000;

    /** Network time of a request and its answer. */
    private static final double NETWORK_MILLIS = 6;

    private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");

    private final ServicePolicy mPolicy;
    private final ServiceProfile mProfile;
    private final VirtualClock mClock = new VirtualClock();
    private final List<ServiceEndpoint> mEndpoints = new ArrayList<>();
    private final List<WorkLedger> mLedgers = new ArrayList<>();
    private final List<CostLearner> mLearners = new ArrayList<>();
    private final List<ServiceAnswer> mAnswers = new ArrayList<>();
    private final UniformRandomProvider mRandom;
    private final UniformRandomProvider mShuffleRandom;

    ServiceRun(ServicePolicy policy, ServiceProfile profile, long seed) {
        mPolicy = policy;
        mProfile = profile;
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mShuffleRandom = RandomSource.SPLIT_MIX_64.create(seed);
        for (int i = 0; i < profile.endpoints(); i++) {
            mEndpoints.add(new ServiceEndpoint(endpoint(i), i == 0 ? profile.slowSpeed() : 1));
        }
        for (int i = 0; i < profile.instances(); i++) {
            mLedgers.add(new WorkLedger());
            mLearners.add(new CostLearner());
        }
    }

    private static RegisteredEndpoint endpoint(int number) {
        return new RegisteredEndpoint(
                new EndpointId("p" + number),
                1,
                new ServiceId("plain"),
                new Address("127.0.0.1", number + 1),
                DATA_CENTRE,
                ServiceProfile.SLOTS,
                false);
    }

    /** Simulates the load and returns the answers after the time for learning. */
    ImmutableList<ServiceAnswer> simulate() {
        long interval = FleetProfile.exchangeMillis(mProfile.instances());
        new SimulatedExchange(mClock, mLedgers, interval).start(mShuffleRandom);
        scheduleNext();
        mClock.runUntil(LENGTH_MILLIS);
        return ImmutableList.copyOf(mAnswers);
    }

    private void scheduleNext() {
        double gap = -Math.log(1 - mRandom.nextDouble()) / mProfile.arrivalsPerMilli();
        mClock.schedule(
                gap,
                () -> {
                    arrive();
                    scheduleNext();
                });
    }

    private void arrive() {
        double draw = mRandom.nextDouble();
        ServiceProfile.RouteCost first = mProfile.routes().getFirst();
        ServiceProfile.RouteCost route = draw < first.share() ? first : mProfile.routes().getLast();
        double gaussian =
                Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()))
                        * Math.cos(2 * Math.PI * mRandom.nextDouble());
        double deviation = route.logDeviation();
        double cost =
                route.meanMillis() * Math.exp(deviation * gaussian - deviation * deviation / 2);
        boolean jumped = route.equals(first) && mClock.nowMillis() > LENGTH_MILLIS / 2;
        send(
                route.name(),
                jumped ? mProfile.jump() * cost : cost,
                mRandom.nextInt(mLedgers.size()));
    }

    private void send(String route, double cost, int instance) {
        double sentAt = mClock.nowMillis();
        ImmutableList<Candidate> candidates = candidates(instance);
        ServiceEndpoint chosen = place(route, cost, candidates, mLearners.get(instance));
        RegisteredEndpoint endpoint = chosen.endpoint();
        AttemptCost attempt =
                new AttemptCost(
                        mLearners
                                .get(instance)
                                .predict(CostKey.plain(route), 1, endpoint.run(), mClock.now()),
                        endpoint,
                        known(candidates, endpoint),
                        0,
                        false);
        boolean learns = mPolicy == ServicePolicy.LEARNED;
        ImmutableMap<EndpointId, EndpointWork> work =
                AttemptWork.plain(endpoint, learns ? attempt.workMillis() : 0).reading();
        mLedgers.get(instance).replace(ImmutableMap.of(), work);
        double millis = chosen.run(sentAt, cost) + NETWORK_MILLIS;
        mClock.schedule(
                millis,
                () -> {
                    mLedgers.get(instance).replace(work, ImmutableMap.of());
                    mLearners.get(instance).recordTime(attempt, true, millis, mClock.now());
                    if (sentAt > WARM_UP_MILLIS) {
                        mAnswers.add(new ServiceAnswer(route, millis));
                    }
                });
    }

    private ServiceEndpoint place(
            String route, double cost, ImmutableList<Candidate> candidates, CostLearner learner) {
        Optional<Double> learned =
                learner.cost().millis(CostKey.plain(route), 1, mClock.now()).map(d -> d.mean());
        if (mPolicy == ServicePolicy.KNOWN_COST) {
            return mEndpoints.stream()
                    .min(Comparator.comparingDouble(e -> e.completion(mClock.nowMillis(), cost)))
                    .orElseThrow();
        }
        Optional<RegisteredEndpoint> chosen =
                mPolicy == ServicePolicy.LEARNED && learned.isPresent()
                        ? PredictedPlacement.plain(
                                DATA_CENTRE, candidates, learned.get(), learner.speeds()::of)
                        : PlainPlacementPolicy.place(
                                DATA_CENTRE,
                                mPolicy == ServicePolicy.FEWEST_OF_TWO
                                        ? candidates.subList(0, 2)
                                        : candidates);
        return mEndpoints.stream()
                .filter(e -> e.endpoint().equals(chosen.orElseThrow()))
                .findFirst()
                .orElseThrow();
    }

    private static EndpointWork known(
            ImmutableList<Candidate> candidates, RegisteredEndpoint endpoint) {
        return candidates.stream()
                .filter(c -> c.endpoint().equals(endpoint))
                .map(Candidate::work)
                .findFirst()
                .orElse(EndpointWork.NONE);
    }

    private ImmutableList<Candidate> candidates(int instance) {
        List<Candidate> candidates = new ArrayList<>();
        for (ServiceEndpoint e : mEndpoints) {
            EndpointWork work = mLedgers.get(instance).of(e.endpoint().id(), mClock.now());
            candidates.add(new Candidate(e.endpoint(), work));
        }
        Collections.shuffle(candidates, mShuffleRandom::nextLong);
        return ImmutableList.copyOf(candidates);
    }

    /** Answer to a request, with the time since it was sent. */
    record ServiceAnswer(String route, double millis) {}
}
