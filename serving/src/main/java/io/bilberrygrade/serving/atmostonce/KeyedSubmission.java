package io.bilberrygrade.serving.atmostonce;

import com.google.common.hash.Hashing;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.identity.TeamId;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;

/** Submission of a call to a plain service under an idempotency key. */
public record KeyedSubmission(
        RequestId id,
        TeamId team,
        String key,
        ServiceId service,
        String operation,
        Instant deadline,
        Buffer body) {
    /** Returns the time left until the deadline; negative once it has passed. */
    public Duration remaining(Instant now) {
        return Duration.between(now, deadline);
    }

    /**
     * Returns a digest of the service, operation and body, which detects the reuse of a key for
     * another call.
     */
    String fingerprint() {
        return Hashing.sha256()
                .newHasher()
                .putInt(service.value().length())
                .putString(service.value(), StandardCharsets.UTF_8)
                .putInt(operation.length())
                .putString(operation, StandardCharsets.UTF_8)
                .putBytes(body.getBytes())
                .hash()
                .toString();
    }
}
