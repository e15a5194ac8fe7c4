package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.engine.EngineEvent;
import io.bilberrygrade.serving.engine.GenerateCall;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Model engine with deterministic tokens for each request and offset, and injected faults. */
final class SimulatedEngine {
    private static final Duration TOKEN_INTERVAL = Duration.ofMillis(50);
    private static final int TOKENS_BEFORE_CUT = 3;

    private final SimulatedNetwork mNetwork;
    private final SimulatedProcess mProcess;
    private final EndpointId mId;
    private final Oracle mOracle;
    private final List<Session> mSessions = new ArrayList<>();
    private EngineMode mMode = EngineMode.HEALTHY;

    SimulatedEngine(SimulatedNetwork network, VirtualTime time, EndpointId id, Oracle oracle) {
        mNetwork = network;
        mProcess = new SimulatedProcess(time, Duration.ZERO);
        mId = id;
        mOracle = oracle;
    }

    static String token(String request, int offset) {
        return request + ":" + offset + ";";
    }

    void setMode(EngineMode mode) {
        mMode = mode;
        if (mode == EngineMode.DOWN) {
            List.copyOf(mSessions).forEach(s -> s.disconnect(Duration.ZERO));
        }
    }

    /** Returns the number of requests that occupy memory. */
    int sessions() {
        return mSessions.size();
    }

    void generate(
            MultiEmitter<? super EngineEvent> out, SimulatedProcess caller, GenerateCall call) {
        Session session = new Session(out, caller, call);
        out.onTermination(session::end);
        caller.onDeath(session::end);
        mProcess.schedule(mNetwork.delay(), session::start);
    }

    private CallException failure(Delivery delivery) {
        return new CallException(Step.DISPATCH, mId.value(), delivery, "simulated");
    }

    /** One execution of a request on the engine. */
    private final class Session {
        private final MultiEmitter<? super EngineEvent> mOut;
        private final SimulatedProcess mCaller;
        private final GenerateCall mCall;
        private int mOffset;
        private boolean mEnded;

        Session(MultiEmitter<? super EngineEvent> out, SimulatedProcess caller, GenerateCall call) {
            mOut = out;
            mCaller = caller;
            mCall = call;
            mOffset = call.resumeOffset();
        }

        private void start() {
            if (mEnded) {
                return;
            }
            if (mMode == EngineMode.DOWN || mMode == EngineMode.REFUSING) {
                boolean down = mMode == EngineMode.DOWN;
                fail(down ? Delivery.NOT_DELIVERED : Delivery.REFUSED, mNetwork.delay());
                return;
            }
            mSessions.add(this);
            mOracle.recordEngineRun(mCall.request().id());
            emit(new EngineEvent.Accepted(Optional.empty()));
            scheduleStep();
        }

        private void scheduleStep() {
            mProcess.schedule(TOKEN_INTERVAL, this::step);
        }

        private void step() {
            if (mEnded) {
                return;
            }
            boolean cutDue = mOffset - mCall.resumeOffset() >= TOKENS_BEFORE_CUT;
            if (mMode == EngineMode.CUTTING && cutDue) {
                disconnect(mNetwork.delay());
            } else if (mMode == EngineMode.STALLED) {
                scheduleStep();
            } else if (mOffset == mCall.request().prompt().maxAnswerTokens()) {
                emit(new EngineEvent.Finished(mOffset));
                mCaller.schedule(Duration.ofMillis(50), mOut::complete);
                end();
            } else {
                String text = token(mCall.request().id().value(), mOffset);
                emit(new EngineEvent.Tokens(mOffset, 1, text));
                mOffset++;
                scheduleStep();
            }
        }

        private void emit(EngineEvent event) {
            mCaller.schedule(Duration.ofMillis(10), () -> mOut.emit(event));
        }

        private void disconnect(Duration delay) {
            fail(Delivery.MAY_HAVE_RUN, delay);
            end();
        }

        private void fail(Delivery delivery, Duration delay) {
            mCaller.schedule(delay.plusMillis(10), () -> mOut.fail(failure(delivery)));
        }

        private void end() {
            mEnded = true;
            mSessions.remove(this);
        }
    }

    /** How the engine handles calls. */
    enum EngineMode {
        HEALTHY,
        REFUSING,
        CUTTING,
        STALLED,
        DOWN
    }
}
