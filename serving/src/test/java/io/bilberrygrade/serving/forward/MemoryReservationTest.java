package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.engine.EngineMemory;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks that memory is released however an attempt ends, also if requests get no answer. */
final class MemoryReservationTest {
    private static final RegisteredEndpoint ENGINE =
            new RegisteredEndpoint(
                    new EndpointId("e"),
                    1,
                    new ServiceId("s"),
                    new Address("127.0.0.1", 1),
                    new DataCentreId("dc"),
                    11,
                    false);

    private final List<Alarm> mAlarms = new ArrayList<>();
    private final FakeEngine mEngine = new FakeEngine();
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");

    private final MemoryReservation mReservation =
            new MemoryReservation(
                    mEngine,
                    ENGINE,
                    "m",
                    100,
                    "r",
                    new MemoryReservation.ReservationContext(
                            delay ->
                                    Uni.createFrom()
                                            .emitter(e -> mAlarms.add(new Alarm(at(delay), e))),
                            new Clocks(() -> mNow, () -> mNow),
                            event -> {}));

    private Instant at(Duration delay) {
        return mNow.plus(delay);
    }

    private Optional<Boolean> acquire() {
        List<Boolean> held = new ArrayList<>();
        mReservation.acquire().subscribe().with(held::add);
        return held.stream().findFirst();
    }

    private void pass(Duration span) {
        Instant end = mNow.plus(span);
        for (Optional<Alarm> next = due(end); next.isPresent(); next = due(end)) {
            mAlarms.remove(next.get());
            mNow = next.get().at();
            next.get().emitter().complete(null);
        }
        mNow = end;
    }

    private Optional<Alarm> due(Instant end) {
        return mAlarms.stream()
                .filter(a -> !a.at().isAfter(end))
                .min((a, b) -> a.at().compareTo(b.at()));
    }

    @Test
    void memoryIsRenewedWhileItIsUsedAndReleasedOnce() {
        assertThat(acquire()).contains(true);
        pass(Duration.ofSeconds(5));
        assertThat(mEngine.mReserved).isGreaterThanOrEqualTo(4);
        mReservation.release();
        mReservation.release();
        int reserved = mEngine.mReserved;
        pass(Duration.ofSeconds(20));
        assertThat(mEngine.mReleased).isEqualTo(1);
        assertThat(mEngine.mReserved).isEqualTo(reserved);
    }

    @Test
    void renewalIsSentWellBeforeTheReservationExpires() {
        acquire();
        pass(Duration.ofMillis(1_700));
        assertThat(mEngine.mReserved).isEqualTo(2);
        assertThat(mEngine.mHold).isLessThan(Duration.ofSeconds(4));
    }

    @Test
    void refusedMemoryIsNotRenewed() {
        mEngine.mHolds = false;
        assertThat(acquire()).contains(false);
        pass(Duration.ofSeconds(5));
        assertThat(mEngine.mReserved).isEqualTo(1);
    }

    @Test
    void releaseIsRepeatedWhileAnUnansweredRequestMayBeExecutedLate() {
        mEngine.mAnswers = false;
        assertThat(acquire()).contains(false);
        mEngine.mAnswers = true;
        mReservation.release();
        pass(Duration.ofSeconds(12));
        assertThat(mEngine.mReleased).isGreaterThanOrEqualTo(8);
        int released = mEngine.mReleased;
        pass(Duration.ofSeconds(20));
        assertThat(mEngine.mReleased).isLessThanOrEqualTo(released + 2);
    }

    // Guards against a renewal that overtakes the release and holds the memory again.
    @Test
    void memoryIsReleasedAgainAfterRenewalInFlightIsAnsweredLate() {
        acquire();
        mEngine.mDelaysAnswers = true;
        pass(Duration.ofMillis(1_200));
        mReservation.release();
        assertThat(mEngine.mReleased).isEqualTo(1);
        mEngine.answer(true);
        assertThat(mEngine.mReleased).isEqualTo(2);
    }

    // Guards against a renewal that was in flight at the release, got no answer and is executed
    // seconds later.
    @Test
    void releaseIsRepeatedAfterRenewalInFlightGetsNoAnswer() {
        acquire();
        mEngine.mDelaysAnswers = true;
        pass(Duration.ofMillis(1_200));
        mReservation.release();
        pass(Duration.ofMillis(700));
        mEngine.answer(false);
        pass(Duration.ofSeconds(12));
        assertThat(mEngine.mReleased).isGreaterThanOrEqualTo(8);
        int released = mEngine.mReleased;
        pass(Duration.ofSeconds(20));
        assertThat(mEngine.mReleased).isLessThanOrEqualTo(released + 2);
    }

    // Guards against calls to a stopped engine for as long as the daemon lives.
    @Test
    void releaseAtUnreachableEngineIsRepeatedUntilNothingCanBeHeld() {
        acquire();
        mEngine.mReachable = false;
        mReservation.release();
        pass(Duration.ofSeconds(3));
        assertThat(mEngine.mReleased).isGreaterThanOrEqualTo(2);
        pass(Duration.ofSeconds(20));
        int released = mEngine.mReleased;
        pass(Duration.ofSeconds(60));
        assertThat(mEngine.mReleased).isEqualTo(released);
    }

    private record Alarm(Instant at, UniEmitter<? super Void> emitter) {}

    private static final class FakeEngine implements EngineMemory {
        private boolean mHolds = true;
        private boolean mAnswers = true;
        private boolean mDelaysAnswers;
        private boolean mReachable = true;
        private Optional<UniEmitter<? super Boolean>> mDelayed = Optional.empty();
        private int mReserved;
        private int mReleased;
        private Duration mHold = Duration.ZERO;

        @Override
        public Uni<Boolean> reserve(
                RegisteredEndpoint engine, String id, long tokens, Duration hold) {
            mReserved++;
            mHold = hold;
            if (mDelaysAnswers) {
                return Uni.createFrom().emitter(e -> mDelayed = Optional.of(e));
            }
            return mAnswers ? Uni.createFrom().item(mHolds) : Uni.createFrom().failure(lost());
        }

        @Override
        public Uni<Void> release(RegisteredEndpoint engine, String id) {
            mReleased++;
            return mReachable ? Uni.createFrom().voidItem() : Uni.createFrom().failure(lost());
        }

        /** Answers the delayed order, or lets it time out. */
        private void answer(boolean granted) {
            UniEmitter<? super Boolean> delayed = mDelayed.orElseThrow();
            if (granted) {
                delayed.complete(true);
            } else {
                delayed.fail(lost());
            }
        }

        private static CallException lost() {
            return new CallException(Step.ORDER, "e", Delivery.MAY_HAVE_RUN, "timed out");
        }
    }
}
