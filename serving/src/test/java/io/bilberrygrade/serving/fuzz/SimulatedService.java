package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.service.PlainService;
import io.bilberrygrade.serving.service.ServiceAnswer;
import io.bilberrygrade.serving.service.ServiceCall;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;

/** Plain service that reports each execution to the oracle and injects faults. */
final class SimulatedService {
    private static final int HTTP_OK = 200;
    private static final Duration RUN_TIME = Duration.ofMillis(30);
    private static final Duration SLOW_RUN_TIME = Duration.ofSeconds(8);

    private final SimulatedNetwork mNetwork;
    private final SimulatedProcess mProcess;
    private final Oracle mOracle;
    private ServiceMode mMode = ServiceMode.HEALTHY;

    SimulatedService(SimulatedNetwork network, VirtualTime time, Oracle oracle) {
        mNetwork = network;
        mProcess = new SimulatedProcess(time, Duration.ZERO);
        mOracle = oracle;
    }

    void setMode(ServiceMode mode) {
        mMode = mode;
    }

    /** Returns the client through which a daemon calls the service. */
    PlainService of(SimulatedProcess caller) {
        return (endpoint, call) -> Uni.createFrom().emitter(e -> send(e, caller, endpoint, call));
    }

    private void send(
            UniEmitter<? super ServiceAnswer> emitter,
            SimulatedProcess caller,
            Endpoint endpoint,
            ServiceCall call) {
        if (mMode == ServiceMode.DOWN) {
            fail(emitter, caller, endpoint, Delivery.NOT_DELIVERED);
            return;
        }
        caller.schedule(
                call.remaining(), () -> emitter.fail(failure(endpoint, Delivery.MAY_HAVE_RUN)));
        mProcess.schedule(mNetwork.delay(), () -> receive(emitter, caller, endpoint, call));
    }

    private void receive(
            UniEmitter<? super ServiceAnswer> emitter,
            SimulatedProcess caller,
            Endpoint endpoint,
            ServiceCall call) {
        if (mMode == ServiceMode.REFUSING) {
            fail(emitter, caller, endpoint, Delivery.REFUSED);
            return;
        }
        Buffer answer = Buffer.buffer(mOracle.recordServiceRun(call.idempotencyKey().orElse("")));
        if (mMode == ServiceMode.CUT_BEFORE_ANSWER) {
            fail(emitter, caller, endpoint, Delivery.MAY_HAVE_RUN);
            return;
        }
        Duration time = mMode == ServiceMode.SLOW ? SLOW_RUN_TIME : RUN_TIME;
        ServiceAnswer result = new ServiceAnswer(HTTP_OK, Optional.of("text/plain"), answer);
        caller.schedule(time.plus(mNetwork.delay()), () -> emitter.complete(result));
    }

    private void fail(
            UniEmitter<? super ServiceAnswer> emitter,
            SimulatedProcess caller,
            Endpoint endpoint,
            Delivery delivery) {
        caller.schedule(mNetwork.delay(), () -> emitter.fail(failure(endpoint, delivery)));
    }

    private static CallException failure(Endpoint endpoint, Delivery delivery) {
        return new CallException(Step.DISPATCH, endpoint.id().value(), delivery, "simulated");
    }

    /** How the service handles calls. */
    enum ServiceMode {
        HEALTHY,
        REFUSING,
        CUT_BEFORE_ANSWER,
        SLOW,
        DOWN
    }
}
