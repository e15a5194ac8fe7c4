package io.bilberrygrade.serving.room;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.room.Capacity;
import io.bilberrygrade.core.room.CapacityStatement;
import io.bilberrygrade.core.room.FleetCapacities;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.peer.AggregatorEntry;
import io.bilberrygrade.serving.peer.CapacityEntry;
import io.bilberrygrade.serving.peer.CapacityReply;
import java.io.IOException;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against capacities of a peer's message that are lost, or odd ones that do harm. */
final class CapacityCodecTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address SELF = new Address("10.0.0.1", 1);
    private static final Address PEER = new Address("10.0.0.2", 1);
    private static final Address NAMED = new Address("10.0.0.3", 1);
    private static final List<AggregatorEntry> AGGREGATORS =
            List.of(new AggregatorEntry(NAMED.toString(), 1));

    private final FleetCapacities mCapacities =
            new FleetCapacities(SELF, Optional.of(new Capacity(4_000, 1_000)));

    private static Optional<CapacityStatement> states(long processorMillis, boolean slow) {
        return Optional.of(new CapacityStatement(new Capacity(processorMillis, 14), slow));
    }

    private void apply(CapacityReply reply) {
        CapacityCodec.apply(mCapacities, PEER, reply, AGGREGATORS, T0);
    }

    @Test
    void answerTellsOfItsSenderTheNamedAndTheRange() throws IOException {
        FleetCapacities sender = new FleetCapacities(PEER, Optional.of(new Capacity(250, 14)));
        sender.recordOwnStatement(NAMED, states(2_000, true), T0);
        CapacityReply reply =
                CapacityCodec.reply(sender, ImmutableList.of(new FleetMember(NAMED, 1)), T0);
        byte[] bytes = Mappers.MESSAGE_PACK.writeValueAsBytes(reply);
        apply(Mappers.MESSAGE_PACK.readValue(bytes, CapacityReply.class));
        assertThat(mCapacities.of(PEER)).isEqualTo(states(250, false));
        assertThat(mCapacities.of(NAMED)).isEqualTo(states(2_000, true));
        assertThat(reply.minMillis()).isEqualTo(250);
        assertThat(reply.maxMillis()).isEqualTo(2_000);
        assertThat(mCapacities.isUneven(T0)).isTrue();
    }

    @Test
    void daemonThatKnowsOfNoCapacitySendsNone() {
        FleetCapacities silent = new FleetCapacities(SELF, Optional.empty());
        assertThat(CapacityCodec.own(silent)).isNull();
        assertThat(CapacityCodec.reply(silent, ImmutableList.of(), T0)).isNull();
    }

    @Test
    void olderPeerStatesNothing() {
        mCapacities.recordOwnStatement(PEER, states(250, false), T0);
        apply(null);
        assertThat(mCapacities.of(PEER)).isEmpty();
        assertThat(mCapacities.isUneven(T0)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"0, 14", "-1, 14", "250, -1", "-9223372036854775808, 0"})
    void oddCapacityStatesNothing(long processorMillis, long linkMbps) {
        CapacityEntry odd = new CapacityEntry(processorMillis, linkMbps, true);
        apply(new CapacityReply(odd, List.of(odd), processorMillis, linkMbps));
        assertThat(mCapacities.of(PEER)).isEmpty();
        assertThat(mCapacities.of(NAMED)).isEmpty();
        assertThat(mCapacities.isUneven(T0)).isFalse();
    }

    @Test
    void missingOrSurplusCapacitiesOfTheNamedAreIgnored() {
        CapacityEntry entry = new CapacityEntry(250, 14, false);
        apply(new CapacityReply(entry, null, 0, 0));
        apply(new CapacityReply(entry, List.of(entry, entry), 0, 0));
        apply(new CapacityReply(entry, Arrays.asList((CapacityEntry) null), 0, 0));
        assertThat(mCapacities.of(NAMED)).isEmpty();
        assertThat(mCapacities.of(PEER)).isEqualTo(states(250, false));
    }
}
