package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.ConnectionBound;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.LongPromptAdmission;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.contention.StreamPlacer;
import io.bilberrygrade.serving.cost.CostController;
import io.bilberrygrade.serving.event.EventLog;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the endpoints for each attempt of a request, by their current health and outstanding
 * work.
 */
final class AttemptPlanner {
    private final EndpointTracker mTracker;
    private final DataCentreId mSelf;
    private final UniformRandomProvider mRandom;
    private final CostController mCost;
    private final StreamPlacer mStreams;

    AttemptPlanner(
            EndpointTracker tracker,
            DataCentreId self,
            UniformRandomProvider random,
            CostController cost,
            Supplier<FleetTraits> traits,
            EventLog events) {
        mTracker = tracker;
        mSelf = self;
        mRandom = random;
        mCost = cost;
        mStreams = new StreamPlacer(tracker.work().receivedSums(), traits, random, events);
    }

    /** Returns how many engines strict streams may use; 0 if the age of the sums is disregarded. */
    int strictEngines() {
        return mStreams.strictEngines();
    }

    /** Returns the plan of the next attempt, or empty if no endpoint is eligible. */
    Optional<AttemptPlan> plan(
            Route route,
            ForwardService service,
            Optional<PromptShape> prompt,
            ImmutableSet<EndpointId> tried,
            Instant now) {
        ImmutableList<Candidate> candidates =
                shuffled(
                        ConnectionBound.open(
                                service, mTracker.candidates(service.id(), tried, now)));
        if (service.engine().isPresent() && prompt.isPresent()) {
            return planStream(route, prompt.get(), service.engine().get(), candidates, now);
        }
        return mCost.placePlain(route, mSelf, candidates, now)
                .map(e -> plainPlan(route, e, candidates, now));
    }

    private AttemptPlan plainPlan(
            Route route,
            RegisteredEndpoint endpoint,
            ImmutableList<Candidate> candidates,
            Instant now) {
        EndpointWork known = work(endpoint, candidates);
        Optional<AttemptCost> cost = mCost.plain(route, endpoint, known, now);
        return new AttemptPlan(
                endpoint,
                ImmutableList.of(),
                ImmutableMap.of(),
                AttemptWork.plain(endpoint, cost.map(AttemptCost::workMillis).orElse(0L)),
                0,
                known,
                candidates.size(),
                cost);
    }

    /**
     * Returns whether a prompt is refused on arrival, since it would delay too many other requests.
     */
    boolean shouldRefuse(
            Route route,
            Optional<ForwardService> service,
            Optional<PromptShape> prompt,
            Instant now) {
        return service.isPresent()
                && service.get().engine().isPresent()
                && prompt.isPresent()
                && shouldRefuse(service.get(), need(route, prompt.get()), now);
    }

    private boolean shouldRefuse(ForwardService service, StreamNeed need, Instant now) {
        return service.engine()
                .filter(c -> LongPromptAdmission.appliesTo(need, c))
                .filter(
                        c ->
                                LongPromptAdmission.rejects(
                                        need, c, mTracker.candidates(service.id(), now)))
                .isPresent();
    }

    /** Returns the resources that a stream of the route needs. */
    private static StreamNeed need(Route route, PromptShape prompt) {
        return StreamNeed.of(prompt, route.goal(), route.gapGoal());
    }

    private Optional<AttemptPlan> planStream(
            Route route,
            PromptShape prompt,
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            Instant now) {
        StreamNeed need = need(route, prompt);
        return mStreams.place(
                        need,
                        cost,
                        candidates,
                        now,
                        () -> mCost.placeStream(route, need, cost, candidates, now))
                .map(
                        p ->
                                streamPlan(
                                        p,
                                        need,
                                        candidates,
                                        mCost.stream(
                                                route,
                                                prompt,
                                                cost,
                                                p,
                                                work(p.first(), candidates),
                                                now)));
    }

    private static AttemptPlan streamPlan(
            StreamPlacement published,
            StreamNeed need,
            ImmutableList<Candidate> candidates,
            Optional<AttemptCost> cost) {
        StreamPlacement placement =
                cost.map(c -> published.withPrefillTimes(c.prefillFactor())).orElse(published);
        return new AttemptPlan(
                placement.first(),
                placement.helpers(),
                placement.reservations(),
                AttemptWork.of(need, placement),
                Math.round(placement.prefillEndMillis()),
                work(placement.first(), candidates),
                candidates.size(),
                cost);
    }

    private static EndpointWork work(
            RegisteredEndpoint endpoint, ImmutableList<Candidate> candidates) {
        return candidates.stream()
                .filter(c -> c.endpoint().equals(endpoint))
                .map(Candidate::work)
                .findFirst()
                .orElse(EndpointWork.NONE);
    }

    /**
     * Shuffles the candidates, so that daemons with the same view don't all choose the same one.
     */
    private ImmutableList<Candidate> shuffled(ImmutableList<Candidate> candidates) {
        List<Candidate> copy = new ArrayList<>(candidates);
        Collections.shuffle(copy, mRandom::nextLong);
        return ImmutableList.copyOf(copy);
    }
}
