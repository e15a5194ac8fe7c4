package io.bilberrygrade.core.contention;

import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Engines on virtual time that run requests by rank, and instances that each admit a part of the
 * requests and know the total work of a while ago only.
 */
final class SharedEngines {
    static final int SLOTS = 96;
    static final Duration GOAL = Duration.ofMillis(400);

    private static final int QUEUE = 3 * SLOTS;
    private static final int INSTANCES = 12;
    private static final long MEMORY = 1_000_000;
    private static final int STEP_MILLIS = 5;
    private static final int SUMS_AGE_MILLIS = 200;
    private static final Duration TIME_LEFT = Duration.ofSeconds(8);
    private static final double MEAN_SLOT_MILLIS = 1_000;

    private final UniformRandomProvider mRandom;
    private final boolean mAdmitsAll;
    private final int[] mTeams;
    private final List<ContentionPolicy> mInstances = new ArrayList<>();
    private final List<Job> mJobs = new ArrayList<>();
    private final List<Job> mReturning = new ArrayList<>();
    private final List<Job> mRunning = new ArrayList<>();
    private final PriorityQueue<Job> mQueue =
            new PriorityQueue<>(
                    Comparator.comparing((Job j) -> j.mRunAs).thenComparing(j -> j.mArrivedAt));
    private final Deque<Integer> mPastCalls = new ArrayDeque<>();
    private Returns mReturns = Returns.NEVER;
    private long mMillis;
    private int mStateChanges;

    SharedEngines(long seed, boolean admitsAll) {
        this(seed, admitsAll, 0, 1, 2, 3);
    }

    /** Creates engines whose requests are each of one of the given teams by chance. */
    SharedEngines(long seed, boolean admitsAll, int... teams) {
        mTeams = teams;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mAdmitsAll = admitsAll;
        for (int i = 0; i < INSTANCES; i++) {
            mInstances.add(new ContentionPolicy());
        }
    }

    void setReturns(Returns returns) {
        mReturns = returns;
    }

    /** Runs arrivals at the given rate per second, a function of the time in seconds. */
    void run(Duration span, DoubleUnaryOperator rate) {
        for (long end = mMillis + span.toMillis(); mMillis < end; mMillis += STEP_MILLIS) {
            endJobs();
            double expected = rate.applyAsDouble(mMillis / 1e3) * STEP_MILLIS / 1e3;
            for (; mRandom.nextDouble() < expected; expected--) {
                arrive();
            }
            returnRefused();
            startJobs();
            mPastCalls.addLast(mRunning.size() + mQueue.size());
            if (mPastCalls.size() > SUMS_AGE_MILLIS / STEP_MILLIS) {
                mPastCalls.removeFirst();
            }
        }
    }

    /** Teams a (rank 0) to d (rank 2); the largest requests take four times the mean. */
    private void arrive() {
        int team = mTeams[mRandom.nextInt(mTeams.length)];
        double size = mRandom.nextDouble() < 0.1 ? 4 : mRandom.nextDouble() * 1.33;
        ServiceRequest request =
                new ServiceRequest(
                        new Rank((team + 1) / 2),
                        "k",
                        Optional.of(new TeamId("" + (char) ('a' + team))),
                        Math.round(1_000 * size),
                        0,
                        MEAN_SLOT_MILLIS * size,
                        GOAL,
                        TIME_LEFT);
        Job job =
                new Job(request, mInstances.get(mRandom.nextInt(INSTANCES)), mJobs.size(), mMillis);
        submit(job);
    }

    /** Lets refused callers return once, after at most a third of their time left. */
    private void returnRefused() {
        List<Job> due = mReturning.stream().filter(j -> j.mReturnsAt <= mMillis).toList();
        mReturning.removeAll(due);
        for (Job j : due) {
            ServiceRequest r = j.mRequest;
            ServiceRequest later =
                    new ServiceRequest(
                            r.rank(),
                            r.kind(),
                            r.team(),
                            r.length(),
                            r.readMillis(),
                            r.slotMillis(),
                            r.goal(),
                            r.timeLeft().minusMillis(mMillis - j.mArrivedAt));
            boolean same = mReturns == Returns.SAME_INSTANCE;
            ContentionPolicy instance =
                    same ? j.mInstance : mInstances.get(mRandom.nextInt(INSTANCES));
            Job again = new Job(later, instance, j.mCaller, mMillis);
            again.mReturned = true;
            submit(again);
        }
    }

    private void submit(Job job) {
        mJobs.add(job);
        job.mRunAs = job.mRequest.rank();
        boolean admitted = mAdmitsAll || decide(job);
        if (admitted && mQueue.size() < QUEUE) {
            mQueue.add(job);
        } else if (admitted && !mAdmitsAll) {
            job.mInstance.recordEnded(job.mRunAs);
        }
    }

    private boolean decide(Job job) {
        int calls = mPastCalls.isEmpty() ? 0 : mPastCalls.getFirst();
        ServiceLoad load =
                new ServiceLoad(
                        SLOTS, calls, 0, MEMORY, 0, Duration.ofMillis(SUMS_AGE_MILLIS), INSTANCES);
        Rank rank = job.mRequest.rank();
        boolean before = job.mInstance.isCrowded(rank);
        AdmissionDecision decision =
                job.mInstance.decide(
                        job.mRequest,
                        load,
                        () -> job.mCaller,
                        mRandom.nextDouble(),
                        Instant.ofEpochMilli(mMillis));
        mStateChanges += before == job.mInstance.isCrowded(rank) ? 0 : 1;
        job.mRefused = decision instanceof AdmissionDecision.Refuse;
        if (decision instanceof AdmissionDecision.Refuse refuse
                && mReturns != Returns.NEVER
                && !job.mReturned) {
            long delay =
                    mReturns == Returns.CONSTANT_DELAY
                            ? 250 + mRandom.nextInt(250)
                            : refuse.retryAfter().toMillis();
            job.mReturnsAt = mMillis + Math.min(delay, TIME_LEFT.toMillis() / 3);
            mReturning.add(job);
        }
        if (decision instanceof AdmissionDecision.Admit admit) {
            job.mRunAs = admit.runAs();
        }
        return !job.mRefused;
    }

    private void startJobs() {
        while (mRunning.size() < SLOTS && !mQueue.isEmpty()) {
            Job job = mQueue.remove();
            if (mMillis - job.mArrivedAt > TIME_LEFT.toMillis()) {
                end(job);
            } else {
                job.mStartedAt = Optional.of(mMillis);
                mRunning.add(job);
            }
        }
    }

    private void endJobs() {
        List<Job> ended =
                mRunning.stream()
                        .filter(
                                j ->
                                        mMillis - j.mStartedAt.orElseThrow()
                                                >= j.mRequest.slotMillis())
                        .toList();
        mRunning.removeAll(ended);
        ended.forEach(this::end);
    }

    private void end(Job job) {
        if (!mAdmitsAll) {
            job.mInstance.recordEnded(job.mRunAs);
        }
    }

    int stateChanges() {
        return mStateChanges;
    }

    int refusals() {
        return (int) mJobs.stream().filter(j -> j.mRefused).count();
    }

    int inTime() {
        return (int) mJobs.stream().filter(Job::isInTime).count();
    }

    /** Returns the fraction of the selected requests that was served, late or in time. */
    double served(Predicate<ServiceRequest> selected) {
        return average(selected, j -> j.mStartedAt.isPresent());
    }

    double inTime(Predicate<ServiceRequest> selected) {
        return average(selected, Job::isInTime);
    }

    private double average(Predicate<ServiceRequest> selected, Predicate<Job> counted) {
        return selected(selected).mapToDouble(j -> counted.test(j) ? 1 : 0).average().orElseThrow();
    }

    private Stream<Job> selected(Predicate<ServiceRequest> selected) {
        return mJobs.stream().filter(j -> selected.test(j.mRequest));
    }

    /**
     * Returns the admitted requests that the instances take to be in flight, less those that are.
     */
    int leaked() {
        return mInstances.stream().mapToInt(ContentionPolicy::running).sum()
                - mQueue.size()
                - mRunning.size();
    }

    /** Returns how many callers were served in time as they returned. */
    int returnedInTime() {
        return (int) mJobs.stream().filter(j -> j.mReturned && j.isInTime()).count();
    }

    /** How refused callers return. */
    enum Returns {
        NEVER,
        /** After the delay that refusals stated before. */
        CONSTANT_DELAY,
        /** When they are told, to the instance that told them. */
        SAME_INSTANCE,
        /** When they are told, to any instance. */
        ANY_INSTANCE
    }

    private static final class Job {
        private final ServiceRequest mRequest;
        private final ContentionPolicy mInstance;
        private final long mArrivedAt;
        private final long mCaller;
        private Rank mRunAs = Rank.HIGHEST;
        private Optional<Long> mStartedAt = Optional.empty();
        private boolean mRefused;
        private boolean mReturned;
        private long mReturnsAt;

        Job(ServiceRequest request, ContentionPolicy instance, long caller, long arrivedAt) {
            mRequest = request;
            mInstance = instance;
            mArrivedAt = arrivedAt;
            mCaller = caller;
        }

        boolean isInTime() {
            return mStartedAt.filter(s -> s - mArrivedAt <= GOAL.toMillis()).isPresent();
        }
    }
}
