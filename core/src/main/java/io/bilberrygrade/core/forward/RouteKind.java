package io.bilberrygrade.core.forward;

/** Kinds of request, which determine whether a request may be executed more than once. */
public enum RouteKind {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** May be executed at most once. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; may be executed again only if the route is resumable. */
    STREAMING
}
