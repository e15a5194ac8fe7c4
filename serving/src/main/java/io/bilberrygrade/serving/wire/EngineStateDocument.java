package io.bilberrygrade.serving.wire;

import java.util.List;

/** State of a model engine, as reported by the engine. */
public record EngineStateDocument(
        List<LoadedModel> models,
        String role,
        long highestFencingToken,
        long memoryTokens,
        List<ReservationDocument> reservations,
        List<SessionDocument> sessions,
        LoadDocument load) {}
