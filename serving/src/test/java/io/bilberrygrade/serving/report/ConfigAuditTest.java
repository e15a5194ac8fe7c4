package io.bilberrygrade.serving.report;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.serving.event.ConfigEvent;
import io.bilberrygrade.serving.event.RequestEvent;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks that the audit trail contains each change of a configuration and nothing else. */
final class ConfigAuditTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final AuditTrail mTrail = new AuditTrail(e -> {}, InstantSource.fixed(NOW));
    private final ConfigAudit mAudit = new ConfigAudit(mTrail);

    @Test
    void recordsOldAndNewValue() {
        mAudit.onDeployment(deployment(1, 0.4));
        assertThat(mTrail.entries()).isEmpty();

        mAudit.onDeployment(deployment(2, 0.5));

        assertThat(mTrail.entries()).hasSize(1);
        AuditEntry entry = mTrail.entries().get(0);
        assertThat(entry.at()).isEqualTo(NOW.toString());
        assertThat(entry.event()).isEqualTo("BG2005");
        assertThat(entry.fields())
                .containsEntry("version", "2")
                .containsEntry("kind", "class")
                .containsEntry("id", "short");
        assertThat(entry.fields().get("from")).contains("share=0.4");
        assertThat(entry.fields().get("to")).contains("share=0.5");
    }

    @Test
    void recordsRemovalAndNoUnchangedItem() {
        mAudit.onDeployment(deployment(1, 0.4));
        mAudit.onDeployment(deployment(2, 0.4));
        assertThat(mTrail.entries()).isEmpty();

        mAudit.onDeployment(
                new Deployment(
                        3,
                        ImmutableMap.of(),
                        ImmutableMap.of(),
                        ImmutableMap.of(),
                        ImmutableMap.of()));

        assertThat(mTrail.entries()).hasSize(1);
        assertThat(mTrail.entries().get(0).fields()).containsEntry("to", "absent");
    }

    @Test
    void trailIsBoundedAndKeepsAuditedEventsOnly() {
        mTrail.record(new RequestEvent.NotRun("r", "s", "t", "u"));
        IntStream.range(0, 1_500)
                .forEach(i -> mTrail.record(new ConfigEvent.InForce(i + 1, i, "service")));

        assertThat(mTrail.entries()).hasSize(1_000);
        assertThat(mTrail.entries().get(999).fields()).containsEntry("version", "1500");
    }

    private static Deployment deployment(long version, double share) {
        WorkClassId id = new WorkClassId("short");
        return new Deployment(
                version,
                ImmutableMap.of(id, new WorkClass(id, Duration.ofSeconds(1), share)),
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableMap.of());
    }
}
