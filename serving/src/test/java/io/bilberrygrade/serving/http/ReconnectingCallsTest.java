package io.bilberrygrade.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to a server whose open connections go silent or fail, on virtual time. */
final class ReconnectingCallsTest {
    private static final Duration TIMEOUT = Duration.ofMillis(900);
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(16);
    private static final HttpAnswer ANSWER =
            new HttpAnswer(200, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer());

    private final Vertx mVertx = Vertx.vertx();
    private final VirtualTime mTime = new VirtualTime();
    private final SimulatedProcess mProcess = new SimulatedProcess(mTime, Duration.ZERO);
    private final List<Sent> mSent = new ArrayList<>();
    private final List<String> mReplaced = new ArrayList<>();
    private final ReconnectingCalls mCalls =
            new ReconnectingCalls(() -> new HttpCalls(mVertx), mProcess, mProcess, mReplaced::add);

    /** A call that was sent, on the connections of one client. */
    private record Sent(HttpCalls client, UniEmitter<? super HttpAnswer> emitter) {
        void answer() {
            emitter.complete(ANSWER);
        }

        void reset() {
            emitter.fail(failure(new IOException("reset")));
        }

        void turnAway() {
            emitter.fail(failure(null));
        }

        private static CallException failure(Throwable cause) {
            return new CallException(
                    Step.CONFIGURATION, "store", Delivery.MAY_HAVE_RUN, "failed", cause);
        }
    }

    private Uni<HttpAnswer> send(HttpCalls client, Duration timeout) {
        Uni<HttpAnswer> answer = Uni.createFrom().emitter(e -> mSent.add(new Sent(client, e)));
        return Uni.join().first(answer, expired(timeout)).toTerminate();
    }

    private Uni<HttpAnswer> expired(Duration timeout) {
        return mProcess.after(timeout)
                .onItem()
                .transformToUni(
                        v -> Uni.createFrom().failure(Sent.failure(new IOException("timed out"))));
    }

    /** Outcome of a call, as it arrives. */
    private static final class Outcome {
        private final List<String> mResults = new ArrayList<>();
        private Cancellable mCall;

        static Outcome of(Uni<HttpAnswer> call) {
            Outcome outcome = new Outcome();
            outcome.mCall =
                    call.subscribe()
                            .with(
                                    a -> outcome.mResults.add("answered"),
                                    e -> outcome.mResults.add("failed"));
            return outcome;
        }
    }

    private Outcome call() {
        return Outcome.of(mCalls.call(this::send, TIMEOUT));
    }

    private Outcome poll() {
        return Outcome.of(mCalls.longPoll(this::send, POLL_TIMEOUT));
    }

    private Sent last() {
        return mSent.getLast();
    }

    private void pass(long millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    /** Has a call answered, so that the connections are known to work. */
    private void begin() {
        call();
        last().answer();
        mSent.clear();
    }

    @AfterEach
    void close() {
        mVertx.closeAndAwait();
    }

    // Guards against an outage that is declared since an open connection has gone silent.
    @Test
    void callOnSilentConnectionIsAnsweredOnNewOne() {
        begin();
        Outcome outcome = call();
        HttpCalls silent = last().client();
        pass(399);
        assertThat(mSent).hasSize(1);
        pass(2);
        assertThat(mSent).hasSize(2);
        last().answer();
        assertThat(outcome.mResults).containsExactly("answered");
        call();
        assertThat(last().client()).isNotSameAs(silent);
        assertThat(mReplaced).hasSize(1);
    }

    // Guards against an unreachable store that is taken for a dead connection.
    @Test
    void callFailsInTimeIfNewConnectionIsSilentToo() {
        begin();
        Outcome outcome = call();
        pass(899);
        assertThat(outcome.mResults).isEmpty();
        pass(2);
        assertThat(outcome.mResults).containsExactly("failed");
    }

    // Guards against twice the calls while the store is away.
    @Test
    void callsDuringAnOutageAreSentOnce() {
        begin();
        call();
        pass(1_000);
        mSent.clear();
        for (int i = 0; i < 5; i++) {
            call();
            pass(1_000);
        }
        assertThat(mSent).hasSize(5);
    }

    @Test
    void slowAnswerOnDoubtedConnectionCounts() {
        begin();
        Outcome outcome = call();
        pass(500);
        mSent.getFirst().answer();
        assertThat(outcome.mResults).containsExactly("answered");
        last().reset();
        pass(1_000);
        assertThat(outcome.mResults).hasSize(1);
    }

    @Test
    void callOnFailedConnectionIsSentAgainAtOnce() {
        begin();
        Outcome outcome = call();
        last().reset();
        assertThat(mSent).hasSize(2);
        last().answer();
        assertThat(outcome.mResults).containsExactly("answered");
    }

    @Test
    void callThatFailsOnNewConnectionFailsAtOnce() {
        begin();
        Outcome outcome = call();
        last().reset();
        last().reset();
        assertThat(outcome.mResults).containsExactly("failed");
        assertThat(mSent).hasSize(2);
    }

    @Test
    void refusalIsAnAnswerAndNotSentAgain() {
        begin();
        Outcome outcome = call();
        last().turnAway();
        pass(1_000);
        assertThat(outcome.mResults).containsExactly("failed");
        assertThat(mSent).hasSize(1);
    }

    @Test
    void firstCallIsSentOnce() {
        Outcome outcome = call();
        pass(1_000);
        assertThat(outcome.mResults).containsExactly("failed");
        assertThat(mSent).hasSize(1);
    }

    // Guards against a watch that waits on a dead connection until its time is up.
    @Test
    void longPollMovesToNewConnectionsWithCall() {
        begin();
        Outcome poll = poll();
        call();
        pass(401);
        last().answer();
        mSent.getFirst().reset();
        assertThat(mSent).hasSize(4);
        last().answer();
        assertThat(poll.mResults).containsExactly("answered");
    }

    // Guards against silences after the first, of which no connection is known to have worked.
    @ParameterizedTest
    @ValueSource(longs = {0, 3_000, 60_000})
    void secondSilenceIsOvercomeLikeTheFirst(long pauseMillis) {
        begin();
        for (int i = 0; i < 2; i++) {
            Outcome outcome = call();
            pass(401);
            last().answer();
            assertThat(outcome.mResults).containsExactly("answered");
            pass(pauseMillis);
        }
        assertThat(mReplaced).hasSize(2);
    }

    @Test
    void cutLongPollIsSentAgain() {
        Outcome poll = poll();
        pass(5_000);
        last().reset();
        pass(5_000);
        last().reset();
        assertThat(mSent).hasSize(3);
        assertThat(poll.mResults).isEmpty();
    }

    @Test
    void longPollFailsIfNewConnectionFailsAtOnce() {
        Outcome poll = poll();
        pass(5_000);
        last().reset();
        last().reset();
        assertThat(mSent).hasSize(2);
        assertThat(poll.mResults).containsExactly("failed");
    }

    @Test
    void cancelledLongPollIsNotSentAgain() {
        Outcome poll = poll();
        pass(5_000);
        poll.mCall.cancel();
        mCalls.reconnect("for the test");
        mSent.getFirst().reset();
        assertThat(mSent).hasSize(1);
    }
}
