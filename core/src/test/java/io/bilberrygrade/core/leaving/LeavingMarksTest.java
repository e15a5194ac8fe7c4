package io.bilberrygrade.core.leaving;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class LeavingMarksTest {
    private static final Instant START = Instant.EPOCH;
    private static final EndpointId ENGINE = new EndpointId("engine-1");

    private final LeavingMarks mMarks = new LeavingMarks();

    @Test
    void marksEndpointAsLeavingUntilMarkExpires() {
        assertThat(mMarks.isLeaving(ENGINE, START)).isFalse();

        assertThat(mMarks.mark(ENGINE, START, START)).isTrue();
        assertThat(mMarks.mark(ENGINE, START, START)).isFalse();

        assertThat(mMarks.isLeaving(ENGINE, START.plusSeconds(29))).isTrue();
        assertThat(mMarks.isLeaving(ENGINE, START.plusSeconds(30))).isFalse();
    }

    @Test
    void ignoresMarksThatExpiredInTransit() {
        assertThat(mMarks.mark(ENGINE, START, START.plusSeconds(30))).isFalse();

        assertThat(mMarks.isLeaving(ENGINE, START.plusSeconds(30))).isFalse();
    }

    @Test
    void treatsEndpointAsLeavingWhilePublished() {
        mMarks.setPublished(ImmutableSet.of(ENGINE));
        assertThat(mMarks.isLeaving(ENGINE, START.plusSeconds(3_600))).isTrue();

        mMarks.setPublished(ImmutableSet.of());
        assertThat(mMarks.isLeaving(ENGINE, START)).isFalse();
    }

    @Test
    void returnsNewestMarks() {
        mMarks.mark(new EndpointId("old"), START, START);
        mMarks.mark(ENGINE, START.plusSeconds(1), START.plusSeconds(1));

        assertThat(mMarks.newest(1, START.plusSeconds(2)))
                .singleElement()
                .satisfies(m -> assertThat(m.endpoint()).isEqualTo(ENGINE));
        assertThat(mMarks.newest(4, START.plusSeconds(20))).isEmpty();
    }
}
