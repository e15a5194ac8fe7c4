package io.bilberrygrade.standins.engine;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Request as the scheduler sees it. A segment has 0 {@code maxTokens} and keeps its KV cache under
 * its reservation. {@code priority} 0 is most urgent; {@code importedTokens} of the prompt need no
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
    /** Returns the tokens of KV memory that it occupies. */
    public long memoryTokens() {
        long imported = reservationId.isPresent() ? importedTokens : 0;
        return Math.max(promptTokens - imported, 0) + maxTokens;
    }

    /** Returns the same request with the tokens that it imports. */
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

    /** Returns whether it is a segment, which generates nothing. */
    public boolean isSegment() {
        return maxTokens == 0;
    }
}
