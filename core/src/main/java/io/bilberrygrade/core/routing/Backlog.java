package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;

/** Prompt tokens queued for prefill at an engine, by the lane of their requests. */
public record Backlog(double shortTokens, double longTokens) {
    /** Backlog of an idle engine. */
    public static final Backlog NONE = new Backlog(0, 0);

    /** Returns the tokens that are prefilled before a new request of a lane. */
    public double ahead(Lane lane) {
        return switch (lane) {
            case SHORT -> shortTokens;
            case LONG -> shortTokens + longTokens;
        };
    }
}
