package io.bilberrygrade.core.contention;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which requests of a service are sent while callers ask for more than its endpoints can
 * serve in time. The load that it answers: bursts of some seconds at which all slots are in use and
 * the engines' queues grow until every request is late, those of high rank too.
 *
 * <p>Engines order their queues by rank, so that a request waits only for those of its own rank and
 * of higher ones. It is refused if it can't be served before its deadline, or if its rank is
 * crowded and it would be late itself or needs far more engine time than others. Where the load or
 * the time that requests take isn't known, it is admitted.
 */
public final class ContentionPolicy {
    /** Least part of the rate at which all are admitted that a team gets. */
    private static final double TEAM_FLOOR = 0.25;

    /** Least part of the rate at which its kind is admitted that a class of length gets. */
    private static final double LENGTH_FLOOR = 0.5;

    /** Factor over a floor up to which it is applied, since what is admitted varies about it. */
    private static final double MARGIN = 1.25;

    /** Factor over a floor with which those below it are admitted, so that they reach it. */
    private static final double CATCH_UP = 2;

    /**
     * Cost, as a multiple of the mean, up to which requests are admitted when a rank is crowded.
     */
    private static final double MAX_COST = 2;

    /** Part of the engines' queues that lower ranks may fill. */
    private static final double LOWER_RANK_QUEUE = 0.5;

    /** Largest part of its goal that a request is spared for work that the sums don't show yet. */
    private static final double MAX_GROWTH = 0.5;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

    private final RecentRequests mRecent = new RecentRequests();
    private final RunningRanks mRunning = new RunningRanks();
    private final Crowding mCrowding = new Crowding();

    /** Decides on a request; {@code draw} is uniform in [0, 1). */
    public AdmissionDecision decide(
            ServiceRequest request, ServiceLoad load, double draw, Instant now) {
        Prediction prediction = predict(request, load, request.rank());
        double goalMillis = mRecent.medianGoalMillis(request);
        boolean crowded =
                mCrowding.update(request.rank(), prediction.queueMillis(), goalMillis, now);
        AdmissionDecision decision =
                refusalCause(request, load, prediction, crowded, now)
                        .map(c -> refuseUnlessBelowFloor(request, load, prediction, c, draw))
                        .orElseGet(() -> admit(request, prediction));
        mRecent.add(request, decision instanceof AdmissionDecision.Admit, now);
        if (decision instanceof AdmissionDecision.Admit admit) {
            mRunning.add(admit.runAs());
        }
        return decision;
    }

    /** Records that an admitted request has ended. */
    public void recordEnded(Rank runAs) {
        mRunning.remove(runAs);
    }

    /** Returns the number of admitted requests that haven't ended. */
    public int running() {
        return mRunning.count();
    }

    /** Returns whether the requests of a rank were being late at the last decision on one. */
    public boolean isCrowded(Rank rank) {
        return mCrowding.isCrowded(rank);
    }

    /** Returns how many requests of each rank and team were admitted lately. */
    public Map<String, Integer> admittedLately() {
        return mRecent.admittedByRankAndTeam();
    }

    private Prediction predict(ServiceRequest request, ServiceLoad load, Rank rank) {
        return Prediction.of(
                request,
                load,
                mRunning.aheadFraction(rank),
                mRunning.higherFraction(rank),
                mRecent.meanSlotMillis());
    }

    private static AdmissionDecision admit(ServiceRequest request, Prediction prediction) {
        AdmissionCause cause =
                isLate(request, prediction)
                        ? AdmissionCause.LATE_IN_FREE_TIME
                        : AdmissionCause.IN_TIME;
        return new AdmissionDecision.Admit(request.rank(), cause, prediction);
    }

    private Optional<AdmissionCause> refusalCause(
            ServiceRequest request,
            ServiceLoad load,
            Prediction prediction,
            boolean crowded,
            Instant now) {
        if (isPastDeadline(request, prediction)) {
            return Optional.of(AdmissionCause.PAST_DEADLINE);
        }
        if (load.queueFraction() > LOWER_RANK_QUEUE && mRecent.hasHigherRank(request.rank())) {
            return Optional.of(AdmissionCause.QUEUE_FOR_HIGHER_RANKS);
        }
        if (crowded && isLateWithGrowth(request, load, prediction)) {
            return Optional.of(AdmissionCause.MAKES_OTHERS_LATE);
        }
        boolean scarce = mCrowding.wasCrowdedLately(request.rank(), now) && prediction.ahead() > 0;
        return scarce && isCostly(request, prediction)
                ? Optional.of(AdmissionCause.TOO_COSTLY)
                : Optional.empty();
    }

    private static boolean isLate(ServiceRequest request, Prediction prediction) {
        return prediction.firstMillis() > request.goal().toMillis();
    }

    private static boolean isPastDeadline(ServiceRequest request, Prediction prediction) {
        return prediction.earliestMillis() > request.timeLeft().toMillis();
    }

    /**
     * While a rank is crowded, the queue grows by up to the age of the sums before the others'
     * requests are seen. Admitting up to the goal by the sums alone made nearly all of them late.
     */
    private static boolean isLateWithGrowth(
            ServiceRequest request, ServiceLoad load, Prediction prediction) {
        double goalMillis = (double) request.goal().toMillis();
        double growth = Math.min((double) load.age().toMillis(), goalMillis * MAX_GROWTH);
        return prediction.firstMillis() + growth > goalMillis;
    }

    /** The further the wait exceeds the goals of the rank, the cheaper a request has to be. */
    private boolean isCostly(ServiceRequest request, Prediction prediction) {
        double excess =
                Math.max(
                        1,
                        prediction.queueMillis() / Math.max(1, mRecent.medianGoalMillis(request)));
        return request.slotMillis() > mRecent.meanSlotMillis() * MAX_COST / excess;
    }

    private AdmissionDecision refuseUnlessBelowFloor(
            ServiceRequest request,
            ServiceLoad load,
            Prediction prediction,
            AdmissionCause cause,
            double draw) {
        boolean possible = !isPastDeadline(request, prediction);
        if (possible && isLengthBelowFloor(request, draw)) {
            return new AdmissionDecision.Admit(
                    request.rank(), AdmissionCause.LENGTH_FLOOR, prediction);
        }
        Prediction first = predict(request, load, Rank.HIGHEST);
        if (!isPastDeadline(request, first) && isTeamBelowFloor(request, draw)) {
            return new AdmissionDecision.Admit(Rank.HIGHEST, AdmissionCause.TEAM_FLOOR, prediction);
        }
        Duration wait = Duration.ofMillis(Math.round(prediction.waitMillis()));
        return new AdmissionDecision.Refuse(
                wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER, cause, prediction);
    }

    private boolean isTeamBelowFloor(ServiceRequest request, double draw) {
        double all = mRecent.admittedFraction(r -> true).orElse(0);
        double own = mRecent.admittedFraction(r -> r.team().equals(request.team())).orElse(0);
        return request.team().isPresent() && isBelow(TEAM_FLOOR * all, own, draw);
    }

    private boolean isLengthBelowFloor(ServiceRequest request, double draw) {
        long[] lengths = mRecent.lengths(request.kind());
        LengthClass lengthClass = LengthClass.of(request.length(), lengths);
        if (lengthClass == LengthClass.REST) {
            return false;
        }
        double kind = mRecent.admittedFraction(r -> r.kind().equals(request.kind())).orElse(0);
        double own =
                mRecent.admittedFraction(
                                r ->
                                        r.kind().equals(request.kind())
                                                && LengthClass.of(r.length(), lengths)
                                                        == lengthClass)
                        .orElse(0);
        return isBelow(LENGTH_FLOOR * kind, own, draw);
    }

    /**
     * Admits by chance, since most instances see too few requests of a team to count them off: a
     * first one that was always admitted would admit one of each team at each instance.
     */
    private static boolean isBelow(double floor, double own, double draw) {
        return own < MARGIN * floor && draw < CATCH_UP * floor;
    }
}
