package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Accounts for KV memory in tokens: running requests, reservations and exported KV caches. */
final class KvMemory {
    private static final class Reservation {
        private final ReservationRequest mRequest;
        private final Instant mDeadline;
        private final Map<String, Long> mExports = new LinkedHashMap<>();
        private long mUsedTokens;

        Reservation(ReservationRequest request, Instant deadline) {
            mRequest = request;
            mDeadline = deadline;
        }
    }

    private final String mIdPrefix;
    private final long mTotalTokens;
    private final Map<String, Reservation> mReservations = new LinkedHashMap<>();
    private long mFreeTokens;
    private long mSerial;

    /**
     * Creates an empty memory; {@code idPrefix} distinguishes the ids of different runs of an
     * engine.
     */
    KvMemory(long totalTokens, String idPrefix) {
        mTotalTokens = totalTokens;
        mFreeTokens = totalTokens;
        mIdPrefix = idPrefix;
    }

    long totalTokens() {
        return mTotalTokens;
    }

    long freeTokens() {
        return mFreeTokens;
    }

    Optional<String> reserve(Instant now, ReservationRequest request) {
        if (request.tokens() > mFreeTokens) {
            return Optional.empty();
        }
        mFreeTokens -= request.tokens();
        String id = nextId("r");
        Instant deadline = now.plusMillis(request.deadlineMillis());
        mReservations.put(id, new Reservation(request, deadline));
        return Optional.of(id);
    }

    void release(String id) {
        Reservation reservation = mReservations.remove(id);
        if (reservation != null) {
            mFreeTokens += reservation.mRequest.tokens();
        }
    }

    /**
     * Allocates a request's memory, from its reservation if it has one; returns whether it fits.
     */
    boolean allocate(JobSpec spec) {
        long tokens = spec.memoryTokens();
        if (spec.reservationId().isEmpty()) {
            boolean fits = tokens <= mFreeTokens;
            mFreeTokens -= fits ? tokens : 0;
            return fits;
        }
        Reservation reservation = mReservations.get(spec.reservationId().get());
        if (reservation == null
                || reservation.mUsedTokens + tokens > reservation.mRequest.tokens()) {
            return false;
        }
        reservation.mUsedTokens += tokens;
        return true;
    }

    void free(JobSpec spec) {
        if (spec.reservationId().isEmpty()) {
            mFreeTokens += spec.memoryTokens();
            return;
        }
        Reservation reservation = mReservations.get(spec.reservationId().get());
        if (reservation != null) {
            reservation.mUsedTokens -= spec.memoryTokens();
        }
    }

    /**
     * Keeps a segment's KV cache until its reservation is released and returns its handle, or empty
     * if the reservation no longer exists.
     */
    Optional<String> export(String reservationId, long tokens) {
        Reservation reservation = mReservations.get(reservationId);
        if (reservation == null) {
            return Optional.empty();
        }
        String handle = nextId("k");
        reservation.mExports.put(handle, tokens);
        return Optional.of(handle);
    }

    Optional<Long> exportedTokens(String handle) {
        return mReservations.values().stream()
                .map(r -> Optional.ofNullable(r.mExports.get(handle)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    List<ReservationDocument> reservations(Instant now) {
        return mReservations.entrySet().stream()
                .map(e -> document(now, e.getKey(), e.getValue()))
                .toList();
    }

    private static ReservationDocument document(Instant now, String id, Reservation reservation) {
        ReservationRequest request = reservation.mRequest;
        return new ReservationDocument(
                id,
                request.requestId(),
                request.attempt(),
                request.incarnation(),
                request.tokens(),
                Duration.between(now, reservation.mDeadline).toMillis());
    }

    private String nextId(String kind) {
        mSerial++;
        return kind + "-" + mIdPrefix + "-" + mSerial;
    }
}
