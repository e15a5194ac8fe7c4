package io.bilberrygrade.core.admission;

import io.bilberrygrade.core.request.Reason;
import java.time.Duration;

/** Decision whether a request is taken on. */
public sealed interface Admission {
    /** The request is taken on. */
    record Admitted() implements Admission {}

    /** The request isn't run; {@code backlog} is the time until it may be, without jitter. */
    record Refused(Reason reason, String detail, Duration backlog) implements Admission {}
}
