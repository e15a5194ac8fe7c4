package io.bilberrygrade.standins.engine;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Request to the scheduler. A segment has 0 {@code maxTokens} and keeps its KV cache under its
 * reservation. {@code priority} 0 is the most urgent; {@code importedTokens} of the prompt need no
 * prefill.
 */
public record JobSpec(
        String requestId,
        int attempt,
        long incarnation,
        int priority,
        long promptTokens,
        int maxTokens,
        int resumeOffset,
        Instant deadline,
        List<String> prefixHashes,
        Optional<String> reservationId,
        long importedTokens) {
    /** Returns the KV memory that the request occupies, in tokens. */
    public long memoryTokens() {
        long imported = reservationId.isPresent() ? importedTokens : 0;
        return Math.max(promptTokens - imported, 0) + maxTokens;
    }

    /** Returns a copy with the number of imported tokens. */
    public JobSpec withImport(long tokens) {
        return new JobSpec(
                requestId,
                attempt,
                incarnation,
                priority,
                promptTokens,
                maxTokens,
                resumeOffset,
                deadline,
                prefixHashes,
                reservationId,
                tokens);
    }

    /** Returns whether the request is a segment, which generates no tokens. */
    public boolean isSegment() {
        return maxTokens == 0;
    }
}
