package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/**
 * Request in a model of a fleet whose endpoints crash. What daemons are asked and told about
 * requests is in this class alone.
 *
 * @param id tells the request by what stays the same when a caller repeats it
 * @param parts shared parts of its prompt
 */
record QuarantineTestRequest(String id, ImmutableSet<PromptPart> parts) {
    /** Returns whether a daemon would send the request to an endpoint. */
    boolean isSentBy(Member member, Instant now) {
        return new QuarantineCheck(member.mQuarantine, this::suspects).check(false, now).isEmpty();
    }

    /** Tells a daemon that the request was answered. */
    void recordAnswered(Member member, Instant now) {
        member.mQuarantine.recordAnswered(this::suspects, now);
    }

    /**
     * Tells a daemon that an endpoint crashed under its requests.
     *
     * @param begun those whose answers had just begun
     * @param waiting those that the endpoint had only received
     */
    static void recordCrash(
            Member member,
            EndpointRun run,
            ImmutableList<QuarantineTestRequest> begun,
            ImmutableList<QuarantineTestRequest> waiting,
            Instant now) {
        member.mQuarantine.recordCrash(
                new CrashRecord(run, now, suspects(begun), suspects(waiting), ImmutableSet.of()),
                now);
    }

    private static ImmutableSet<Suspect> suspects(ImmutableList<QuarantineTestRequest> requests) {
        return requests.stream()
                .flatMap(r -> r.suspects().stream())
                .collect(ImmutableSet.toImmutableSet());
    }

    private ImmutableSet<Suspect> suspects() {
        long digest = Hashing.murmur3_128().hashString(id, StandardCharsets.UTF_8).asLong();
        return ImmutableSet.<Suspect>builder()
                .addAll(parts.stream().map(Suspect::part).iterator())
                .add(Suspect.request(digest))
                .build();
    }
}
