package io.bilberrygrade.core.contention;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

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

    /**
     * Factor over a floor up to which it is applied. What is admitted varies about it, and some of
     * low rank that was admitted is passed by others until its time is up.
     */
    private static final double MARGIN = 1.5;

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

    /** Slots become free as requests end, each after some hundred ms to seconds. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

    /** Least time of a slot that a promise takes, where the time isn't known. */
    private static final double MIN_SLOT_MILLIS = 100;

    private static final double NANOS_PER_MILLI = 1e6;

    private final ReturnSchedule mReturns = new ReturnSchedule();

    private final RecentRequests mRecent = new RecentRequests();
    private final RunningRanks mRunning = new RunningRanks();
    private final Crowding mCrowding = new Crowding();

    /**
     * Decides on a request.
     *
     * @param caller identifies the request however often it is sent; asked for only if needed
     * @param draw uniform in [0, 1)
     */
    public AdmissionDecision decide(
            ServiceRequest request,
            ServiceLoad load,
            LongSupplier caller,
            double draw,
            Instant now) {
        ReturnSchedule.Claim claim =
                mReturns.size() == 0
                        ? ReturnSchedule.Claim.NONE
                        : mReturns.claim(caller.getAsLong(), now);
        Asked asked =
                new Asked(
                        request, load, predict(request, load, request.rank()), caller, claim, now);
        AdmissionDecision decision =
                refusalCause(asked)
                        .map(c -> belowFloorOrRefuse(asked, c, draw))
                        .orElseGet(() -> admit(asked));
        if (decision instanceof AdmissionDecision.Admit admit) {
            mRunning.add(admit.runAs());
            if (claim == ReturnSchedule.Claim.EARLY) {
                mReturns.drop(caller.getAsLong());
            }
        }
        if (claim != ReturnSchedule.Claim.EARLY) {
            mRecent.add(request, decision instanceof AdmissionDecision.Admit, now);
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

    /** Returns the number of refused callers for which capacity is kept. */
    public int promises() {
        return mReturns.size();
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

    private static AdmissionDecision admit(Asked asked) {
        AdmissionCause unplanned =
                isLate(asked.request(), asked.prediction())
                        ? AdmissionCause.LATE_IN_FREE_TIME
                        : AdmissionCause.IN_TIME;
        boolean due = asked.claim() == ReturnSchedule.Claim.DUE;
        return new AdmissionDecision.Admit(
                asked.request().rank(),
                due ? AdmissionCause.RETURNED : unplanned,
                asked.prediction());
    }

    private Optional<AdmissionCause> refusalCause(Asked asked) {
        ServiceRequest request = asked.request();
        Prediction prediction = asked.prediction();
        boolean crowded =
                mCrowding.update(
                        request.rank(),
                        prediction.queueMillis(),
                        mRecent.medianGoalMillis(request),
                        asked.now());
        if (isPastDeadline(request, prediction)) {
            return Optional.of(AdmissionCause.PAST_DEADLINE);
        }
        if (asked.claim() == ReturnSchedule.Claim.DUE) {
            return crowded && isLate(request, prediction)
                    ? Optional.of(AdmissionCause.MAKES_OTHERS_LATE)
                    : Optional.empty();
        }
        if (asked.load().queueFraction() > LOWER_RANK_QUEUE
                && mRecent.hasHigherRank(request.rank())) {
            return Optional.of(AdmissionCause.QUEUE_FOR_HIGHER_RANKS);
        }
        boolean scarce =
                mCrowding.wasCrowdedLately(request.rank(), asked.now()) && prediction.ahead() > 0;
        if (scarce && TeamShares.isOver(request, mRecent)) {
            return Optional.of(AdmissionCause.OVER_TEAM_SHARE);
        }
        if (crowded && isLateWithGrowth(request, asked.load(), prediction)) {
            return Optional.of(AdmissionCause.MAKES_OTHERS_LATE);
        }
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

    /** A caller that comes before its time gets no other chance by it. */
    private AdmissionDecision belowFloorOrRefuse(Asked asked, AdmissionCause cause, double draw) {
        Optional<AdmissionDecision> floor =
                asked.claim() == ReturnSchedule.Claim.EARLY
                        ? Optional.empty()
                        : belowFloor(asked, draw);
        return floor.orElseGet(() -> refuse(asked, cause));
    }

    /** The team's floor comes first, since a lower rank's request is served in time by it only. */
    private Optional<AdmissionDecision> belowFloor(Asked asked, double draw) {
        ServiceRequest request = asked.request();
        Prediction first = predict(request, asked.load(), Rank.HIGHEST);
        if (!isPastDeadline(request, first) && isTeamBelowFloor(request, draw)) {
            return Optional.of(
                    new AdmissionDecision.Admit(
                            Rank.HIGHEST, AdmissionCause.TEAM_FLOOR, asked.prediction()));
        }
        return isPastDeadline(request, asked.prediction()) || !isLengthBelowFloor(request, draw)
                ? Optional.empty()
                : Optional.of(
                        new AdmissionDecision.Admit(
                                request.rank(), AdmissionCause.LENGTH_FLOOR, asked.prediction()));
    }

    private AdmissionDecision refuse(Asked asked, AdmissionCause cause) {
        ServiceRequest request = asked.request();
        Duration wait = Duration.ofMillis(Math.round(asked.prediction().waitMillis()));
        double slotMillis = Math.max(MIN_SLOT_MILLIS, request.slotMillis());
        double shareMillis =
                slotMillis * asked.load().instances() / Math.max(1, asked.load().slots());
        ReturnSchedule.Return at =
                mReturns.refuse(
                        asked.caller().getAsLong(),
                        asked.claim() == ReturnSchedule.Claim.DUE ? Rank.HIGHEST : request.rank(),
                        wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER,
                        Duration.ofNanos(Math.round(shareMillis * NANOS_PER_MILLI)),
                        request.timeLeft(),
                        asked.now());
        return new AdmissionDecision.Refuse(at.delay(), at.promised(), cause, asked.prediction());
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

    /** A request with what is known when it is decided on. */
    private record Asked(
            ServiceRequest request,
            ServiceLoad load,
            Prediction prediction,
            LongSupplier caller,
            ReturnSchedule.Claim claim,
            Instant now) {}
}
