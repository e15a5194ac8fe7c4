package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.serving.engine.EngineMemory;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;

/**
 * Memory reserved on one engine for one attempt. It is reserved for a few seconds at a time, so
 * that it is freed soon if this daemon dies, and renewed while the attempt lasts. A request without
 * an answer may be executed late, so the release is repeated until that can no longer happen.
 */
final class MemoryReservation {
    /**
     * Lifetime of one reservation; shorter than the time in which unused memory must be free again.
     */
    private static final Duration HOLD_TIME = Duration.ofMillis(3_400);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_100);

    /**
     * Longest delay after which an unanswered request is still executed, as the platform documents
     * it.
     */
    private static final Duration MAX_ORDER_DELAY = Duration.ofSeconds(13);

    private static final Duration RELEASE_RETRY_INTERVAL = Duration.ofMillis(1_500);

    private final EngineMemory mMemory;
    private final RegisteredEndpoint mEngine;
    private final String mId;
    private final long mTokens;
    private final String mRequest;
    private final Timers mTimers;
    private final Clocks mClocks;
    private final EventLog mEvents;
    private boolean mReleased;
    private boolean mReleaseScheduled;
    private Instant mLastUnansweredAt = Instant.MIN;

    /** Time until which the engine may hold the memory if no release reaches it. */
    private Instant mHeldUntil = Instant.MIN;

    MemoryReservation(
            EngineMemory memory,
            RegisteredEndpoint engine,
            String id,
            long tokens,
            String request,
            ReservationContext context) {
        mMemory = memory;
        mEngine = engine;
        mId = id;
        mTokens = tokens;
        mRequest = request;
        mTimers = context.timers();
        mClocks = context.clocks();
        mEvents = context.events();
    }

    RegisteredEndpoint engine() {
        return mEngine;
    }

    String id() {
        return mId;
    }

    /** Reserves the memory; returns whether it is held. */
    Uni<Boolean> acquire() {
        return sendReserve()
                .invoke(
                        held -> {
                            log(held ? "held" : "refused");
                            if (held) {
                                scheduleRenewal();
                            }
                        });
    }

    private Uni<Boolean> sendReserve() {
        return mMemory.reserve(mEngine, mId, mTokens, HOLD_TIME)
                .invoke(
                        held -> {
                            if (held) {
                                extendHold(HOLD_TIME);
                            }
                        })
                .onFailure()
                .recoverWithItem(
                        e -> {
                            mLastUnansweredAt = mClocks.now();
                            extendHold(MAX_ORDER_DELAY.plus(HOLD_TIME));
                            log("unanswered: " + e.getMessage());
                            return false;
                        })
                .invoke(held -> releaseIfOvertaken());
    }

    private void extendHold(Duration span) {
        Instant end = mClocks.now().plus(span);
        mHeldUntil = end.isAfter(mHeldUntil) ? end : mHeldUntil;
    }

    /** Releases again after a renewal that was in flight at the release and may undo it. */
    private void releaseIfOvertaken() {
        if (mReleased) {
            sendRelease();
        }
    }

    private void scheduleRenewal() {
        mTimers.after(RENEWAL_INTERVAL)
                .subscribe()
                .with(
                        v -> {
                            if (!mReleased) {
                                sendReserve().subscribe().with(held -> scheduleRenewal());
                            }
                        });
    }

    /** Releases the memory; does nothing if called again. */
    void release() {
        if (!mReleased) {
            mReleased = true;
            sendRelease();
        }
    }

    private void sendRelease() {
        mMemory.release(mEngine, mId)
                .subscribe()
                .with(
                        v -> {
                            log("released");
                            repeatReleaseUntil(mLastUnansweredAt.plus(MAX_ORDER_DELAY));
                        },
                        e -> repeatReleaseUntil(mHeldUntil));
    }

    private void repeatReleaseUntil(Instant end) {
        if (!mReleaseScheduled && end.isAfter(mClocks.now())) {
            mReleaseScheduled = true;
            mTimers.after(RELEASE_RETRY_INTERVAL)
                    .subscribe()
                    .with(
                            v -> {
                                mReleaseScheduled = false;
                                sendRelease();
                            });
        }
    }

    private void log(String outcome) {
        mEvents.record(
                new ForwardEvent.MemoryReserved(
                        mRequest, mEngine.id().value(), mId, mTokens, outcome));
    }

    /** Collaborators of a reservation. */
    record ReservationContext(Timers timers, Clocks clocks, EventLog events) {}
}
