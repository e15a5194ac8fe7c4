package io.bilberrygrade.core.admission;

import io.bilberrygrade.core.request.Reason;
import java.time.Duration;

/** Decision on whether a request is admitted. */
public sealed interface Admission {
    /** The request is admitted. */
    record Admitted() implements Admission {}

    /**
     * The request is refused without being run; {@code backlog} is the time until it may be
     * admitted, without jitter.
     */
    record Refused(Reason reason, String detail, Duration backlog) implements Admission {}
}
