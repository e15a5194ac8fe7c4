package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.CacheEventsDocument;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.bilberrygrade.serving.wire.SessionDocument;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Scheduler for continuous batching with chunked prefill. Prefills one chunk of the most urgent
 * request at a time, at the prefill rate and without preemption. In parallel, each request in
 * decode generates one token per decode interval times (1 + batch / (2 * slots)).
 *
 * <p>Requests are admitted to memory in order of priority, then arrival. The first that doesn't fit
 * blocks those behind it, except requests with reserved memory. The scheduler reads no clock:
 * callers pass the time and the elapsed work time.
 */
public final class EngineScheduler {
    /** Highest priority number that the load report counts as short. */
    public static final int MAX_SHORT_PRIORITY = 1;

    private static final long NEVER = Long.MAX_VALUE;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final EngineSettings mSettings;
    private final KvMemory mMemory;
    private final CacheEventLog mEvents;
    private final PrefixCache mCache;
    private final TreeSet<Job> mWaiting = new TreeSet<>(Job.ORDER);
    private final TreeSet<Job> mRunning = new TreeSet<>(Job.ORDER);
    private Instant mNow = Instant.EPOCH;
    private long mSerial;
    private long mWorkNanos;
    private Optional<Job> mChunkJob = Optional.empty();
    private long mChunkTokens;
    private long mChunkEndNanos = NEVER;
    private long mDecodeNanos = NEVER;

    /**
     * Creates an idle scheduler.
     *
     * @param idPrefix part of the ids that it assigns, different in each run of an engine
     * @param seed seed of the random loss of cache events
     */
    public EngineScheduler(EngineSettings settings, String idPrefix, long seed) {
        mSettings = settings;
        mMemory = new KvMemory(settings.memoryTokens(), idPrefix);
        mEvents = new CacheEventLog(seed);
        mCache =
                new PrefixCache(
                        settings.cacheTokens(), (kind, hash) -> mEvents.add(mNow, kind, hash));
    }

    /** Queues a request, or returns the reason for refusing it; a refused request doesn't run. */
    public Optional<String> submit(Instant now, JobSpec spec, JobListener listener) {
        mNow = now;
        if (!spec.deadline().isAfter(now)) {
            return Optional.of("deadline");
        }
        Job job = new Job(spec, listener, mSerial++);
        if (spec.reservationId().isPresent()) {
            if (!mMemory.allocate(spec)) {
                return Optional.of("memory");
            }
        } else if (spec.memoryTokens() > mMemory.totalTokens()) {
            return Optional.of("memory");
        } else if (mWaiting.size() >= mSettings.queueBound()) {
            return Optional.of("queue");
        }
        mWaiting.add(job);
        admit();
        return Optional.empty();
    }

    /**
     * Simulates {@code elapsed} work time, which is less than the wall-clock time on a slowed
     * engine and zero on a frozen one.
     */
    public void advance(Instant now, Duration elapsed) {
        mNow = now;
        long target = mWorkNanos + elapsed.toNanos();
        dropExpired(now);
        admit();
        startWork();
        while (Math.min(mChunkEndNanos, mDecodeNanos) <= target) {
            mWorkNanos = Math.min(mChunkEndNanos, mDecodeNanos);
            if (mWorkNanos == mDecodeNanos) {
                decode();
            }
            if (mWorkNanos == mChunkEndNanos) {
                finishChunk();
            }
            admit();
            startWork();
        }
        mWorkNanos = target;
    }

    /** Cancels an attempt's work and frees its memory; does nothing if there is none. */
    public void cancel(String requestId, int attempt) {
        Predicate<Job> matches =
                j ->
                        j.spec().requestId().equals(requestId)
                                && j.spec().attempt() == attempt
                                && !j.spec().isSegment();
        drop(matches, "cancelled");
    }

    /** Cancels the work of a listener whose caller has disconnected. */
    public void abandon(JobListener listener) {
        drop(j -> j.listener() == listener, "cancelled");
    }

    /** Reserves memory and returns the reservation's id, or empty if too little is free. */
    public Optional<String> reserve(Instant now, ReservationRequest request) {
        return mMemory.reserve(now, request);
    }

    /** Releases a reservation with its exported KV caches and cancels its work. */
    public void release(String reservationId) {
        Optional<String> id = Optional.of(reservationId);
        drop(j -> j.spec().reservationId().equals(id), "reservation");
        mMemory.release(reservationId);
        admit();
    }

    /**
     * Exports a finished segment's KV cache and returns its handle, or empty if the reservation no
     * longer exists.
     */
    public Optional<String> export(String reservationId, long tokens) {
        return mMemory.export(reservationId, tokens);
    }

    /** Returns the tokens of an exported KV cache, or empty if it no longer exists. */
    public Optional<Long> exportedTokens(String handle) {
        return mMemory.exportedTokens(handle);
    }

    /** Sets the loss of cache events in percent and the delay of the others. */
    public void setCacheEventFaults(int lossPercent, Duration delay) {
        mEvents.setFaults(lossPercent, delay);
    }

    /** Returns the published cache events with a sequence above {@code after}. */
    public CacheEventsDocument cacheEvents(Instant now, long after) {
        return mEvents.read(now, after);
    }

    /** Returns all reservations. */
    public List<ReservationDocument> reservations(Instant now) {
        return mMemory.reservations(now);
    }

    /** Returns the running and waiting requests. */
    public List<SessionDocument> sessions(Instant now) {
        return jobs().map(Job::spec).map(s -> session(now, s)).toList();
    }

    /** Returns the current load, without lag. */
    public LoadDocument load() {
        return new LoadDocument(
                0,
                remainingPrefill(j -> true),
                remainingPrefill(j -> j.spec().priority() <= MAX_SHORT_PRIORITY),
                mRunning.size(),
                mMemory.freeTokens());
    }

    private long remainingPrefill(Predicate<Job> condition) {
        return jobs().filter(j -> !j.isDecoding())
                .filter(condition)
                .mapToLong(Job::remainingPrefill)
                .sum();
    }

    private Stream<Job> jobs() {
        return Stream.concat(mRunning.stream(), mWaiting.stream());
    }

    private static SessionDocument session(Instant now, JobSpec spec) {
        long remaining = Duration.between(now, spec.deadline()).toMillis();
        return new SessionDocument(spec.requestId(), spec.attempt(), spec.incarnation(), remaining);
    }

    private void dropExpired(Instant now) {
        drop(j -> !j.spec().deadline().isAfter(now), "deadline");
    }

    private void drop(Predicate<Job> condition, String reason) {
        for (Job job : jobs().filter(condition).toList()) {
            boolean waiting = mWaiting.remove(job);
            mRunning.remove(job);
            if (!waiting || job.spec().reservationId().isPresent()) {
                mMemory.free(job.spec());
            }
            if (waiting) {
                job.listener().refused(reason);
            } else {
                job.listener().failed(reason);
            }
        }
    }

    private void admit() {
        boolean blocked = false;
        for (Job job : List.copyOf(mWaiting)) {
            if (mRunning.size() >= mSettings.slots()) {
                return;
            }
            boolean reserved = job.spec().reservationId().isPresent();
            if (reserved || (!blocked && mMemory.allocate(job.spec()))) {
                mWaiting.remove(job);
                job.skipPrefill(mCache.lookUp(job.spec().prefixHashes()));
                mRunning.add(job);
            } else {
                blocked = true;
            }
        }
    }

    private void startWork() {
        if (mChunkEndNanos == NEVER) {
            mChunkJob = mRunning.stream().filter(j -> !j.isDecoding()).findFirst();
            mChunkJob.ifPresent(this::startChunk);
        }
        long batch = mRunning.stream().filter(Job::isDecoding).count();
        if (batch == 0) {
            mDecodeNanos = NEVER;
        } else if (mDecodeNanos == NEVER) {
            mDecodeNanos = mWorkNanos + decodeNanos(batch);
        }
    }

    private void startChunk(Job job) {
        mChunkTokens = Math.min(job.remainingPrefill(), mSettings.chunkTokens());
        mChunkEndNanos = mWorkNanos + mChunkTokens * NANOS_PER_SECOND / mSettings.prefillRate();
    }

    private long decodeNanos(long batch) {
        long nanos = mSettings.decodeInterval().toNanos();
        return nanos + nanos * batch / (2L * mSettings.slots());
    }

    private void finishChunk() {
        Job job = mChunkJob.orElseThrow();
        mChunkEndNanos = NEVER;
        if (!mRunning.contains(job)) {
            return;
        }
        job.prefill(mChunkTokens);
        if (job.remainingPrefill() > 0) {
            return;
        }
        mCache.store(job.spec().prefixHashes());
        job.startDecode();
        decode(job);
    }

    private void decode() {
        mDecodeNanos = NEVER;
        for (Job job : new ArrayList<>(mRunning)) {
            if (job.isDecoding()) {
                decode(job);
            }
        }
    }

    private void decode(Job job) {
        if (!mRunning.contains(job) || !job.decode()) {
            return;
        }
        mRunning.remove(job);
        if (!job.spec().isSegment()) {
            mMemory.free(job.spec());
        }
        job.listener().finished();
    }
}
