package io.bilberrygrade.serving.forward;

import io.vertx.core.Vertx;

/** What a forwarding daemon meets outside: names, formats and calls of a platform. */
public interface ForwardOutside {
    /** Returns the path at which the platform asks whether the daemon takes callers. */
    String readinessPath();

    /** Returns the headers of callers and endpoints. */
    ForwardProtocol protocol();

    /** Returns the platform's store. */
    PublishedState store(Vertx vertx);

    /** Returns the reading of configurations that peers hand on. */
    ConfigDecoder configDecoder();

    /** Returns the orders to engines. */
    EngineMemory memory(Vertx vertx);
}
