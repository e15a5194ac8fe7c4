package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.engine.EngineMemory;
import io.bilberrygrade.serving.http.ReconnectingCalls;
import io.vertx.core.Vertx;

/** Adapters of a forwarding daemon to one platform: header names, formats and calls. */
public interface PlatformBindings {
    /** Returns the path of the platform's readiness probe. */
    String readinessPath();

    /** Returns the header protocol of callers and endpoints. */
    ForwardProtocol protocol();

    /** Returns a client of the platform's store, to which the given calls are made. */
    PublishedState store(ReconnectingCalls calls);

    /** Returns the decoder of configurations that peers send. */
    ConfigDecoder configDecoder();

    /** Returns a client that reserves memory on engines; the listener gets their answers. */
    EngineMemory memory(Vertx vertx, EndpointAnswerListener listener);
}
