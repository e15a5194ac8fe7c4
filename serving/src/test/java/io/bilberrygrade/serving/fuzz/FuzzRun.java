package io.bilberrygrade.serving.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.serving.settings.Mechanism;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.sessions.JqwikSession;
import org.junit.jupiter.api.Test;

/**
 * Fuzzes for a given time; run by {@code bin/fuzz}. It isn't part of the regular tests, since its
 * seed varies and its duration is a wall-clock time.
 */
final class FuzzRun {
    private static final int MAX_FINDINGS = 3;

    @Test
    void findsNoViolations() {
        Infrastructure.setDroppedExceptionHandler(e -> {});
        long seed = Long.getLong("fuzz.seed", 1);
        FuzzCampaign campaign = new FuzzCampaign(seed, disabled());
        Instant end = Instant.now().plus(Duration.ofSeconds(Long.getLong("fuzz.seconds", 10)));
        List<FuzzCampaign.Finding> findings = new ArrayList<>();
        while (Instant.now().isBefore(end) && findings.size() < MAX_FINDINGS) {
            JqwikSession.run(() -> campaign.next().ifPresent(findings::add));
        }
        System.out.printf(
                "seed %d: %d chains, %d steps, %d faults injected, %d findings%n",
                seed, campaign.chains(), campaign.steps(), campaign.faults(), findings.size());
        findings.forEach(FuzzRun::print);
        assertThat(findings).isEmpty();
    }

    private static ImmutableSet<Mechanism> disabled() {
        return Arrays.stream(System.getProperty("fuzz.disabled", "").split(",", 0))
                .filter(name -> !name.isEmpty())
                .map(Mechanism::valueOf)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static void print(FuzzCampaign.Finding finding) {
        System.out.printf("finding (fleet seed %d): %s%n", finding.fleetSeed(), finding.message());
        finding.steps().forEach(step -> System.out.println("    " + step));
    }
}
