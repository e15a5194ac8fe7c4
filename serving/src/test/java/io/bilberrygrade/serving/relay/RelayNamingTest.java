package io.bilberrygrade.serving.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.core.room.RoomBounds;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.peer.PeerMessage;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against ports that are lost or misread between the messages of daemons. */
final class RelayNamingTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address SELF = new Address("10.0.0.1", 1);
    private static final Address PEER = new Address("10.0.0.2", 1);
    private static final Address OTHER = new Address("10.0.0.3", 1);

    /** Bytes of the field: a string of 5 characters and a number of 16 bits with their types. */
    private static final int FIELD_BYTES = 1 + 5 + 1 + 2;

    private boolean mCutOff;

    private RelayNaming naming(Optional<Address> relay) {
        DeploymentOptions options =
                new DeploymentOptions(false, Optional.empty(), RoomBounds.NONE, relay);
        return new RelayNaming(
                new FleetMember(SELF, 1),
                options,
                () -> mCutOff,
                () -> T0,
                RandomSource.SPLIT_MIX_64.create(7));
    }

    private RelayNaming naming() {
        return naming(Optional.of(new Address("0.0.0.0", 9_000)));
    }

    private static PeerMessage.Work report(Integer relay) {
        return new PeerMessage.Work(
                PEER.toString(), 1, List.of(), List.of(), 1, 2, null, null, null, relay);
    }

    private static byte[] encode(Object message) throws IOException {
        return Mappers.MESSAGE_PACK.writeValueAsBytes(message);
    }

    private static PeerMessage decode(byte[] bytes) throws IOException {
        return Mappers.MESSAGE_PACK.readValue(bytes, PeerMessage.class);
    }

    private static List<String> named(RelayNaming naming, Address asking) {
        PeerMessage reply = naming.answer(new PeerMessage.RelaysWanted(asking.toString(), 8));
        return ((PeerMessage.RelaysNamed) reply).addresses();
    }

    @Test
    void messagesAreTheSameAfterDecoding() throws IOException {
        List<PeerMessage> messages =
                List.of(
                        report(65_535),
                        report(null),
                        new PeerMessage.RelaysWanted(PEER.toString(), 8),
                        new PeerMessage.RelaysNamed(List.of("10.0.0.2:9000", "10.0.0.3:9")));
        for (PeerMessage message : messages) {
            assertThat(decode(encode(message))).isEqualTo(message);
        }
    }

    @Test
    void reportOfAnOlderDaemonIsReadAsOneWithoutRelay() throws IOException {
        Map<String, Object> older =
                ImmutableMap.<String, Object>builder()
                        .put("t", "work")
                        .put("address", PEER.toString())
                        .put("version", 1)
                        .put("entries", List.of())
                        .put("leaving", List.of())
                        .put("storeEra", 1)
                        .put("storeRevision", 2)
                        .buildOrThrow();
        assertThat(decode(encode(older))).isEqualTo(report(null));
        assertThat(encode(report(null))).hasSameSizeAs(encode(older));
    }

    /** Older daemons ignore the field as this one does with fields that it doesn't know. */
    @Test
    void unknownFieldIsIgnored() throws IOException {
        Map<String, Object> newer =
                ImmutableMap.of("t", "relays-wanted", "address", "10.0.0.2:1", "count", 8, "x", 1);
        assertThat(decode(encode(newer))).isEqualTo(new PeerMessage.RelaysWanted("10.0.0.2:1", 8));
    }

    @Test
    void fieldAddsNineBytes() throws IOException {
        assertThat(encode(report(9_000)).length - encode(report(null)).length)
                .isEqualTo(FIELD_BYTES);
    }

    @Test
    void daemonStatesItsPortUnlessItIsCutOff() {
        assertThat(naming().ownPort()).isEqualTo(9_000);
        mCutOff = true;
        assertThat(naming().ownPort()).isNull();
        assertThat(naming(Optional.empty()).ownPort()).isNull();
    }

    @Test
    void daemonNamesItselfUnlessItIsCutOff() {
        RelayNaming naming = naming();
        assertThat(named(naming, PEER)).containsExactly("10.0.0.1:9000");
        mCutOff = true;
        assertThat(named(naming, PEER)).isEmpty();
        assertThat(named(naming(Optional.empty()), PEER)).isEmpty();
    }

    @Test
    void memberIsNamedWithTheHostOfItsPeerAddress() {
        RelayNaming naming = naming(Optional.empty());
        naming.onReport(PEER, 9_000);
        naming.onReport(new Address("2001:db8::1", 1), 9_001);
        assertThat(named(naming, OTHER))
                .containsExactlyInAnyOrder("10.0.0.2:9000", "2001:db8::1:9001");
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(ints = {0, -1, 65_536, Integer.MIN_VALUE, Integer.MAX_VALUE})
    void oddPortCountsAsNone(Integer port) {
        RelayNaming naming = naming(Optional.empty());
        naming.onReport(PEER, 9_000);
        naming.onReport(PEER, port);
        assertThat(named(naming, OTHER)).isEmpty();
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "10.0.0.2", "host:1", "0.0.0.0:1"})
    void requestWithAnOddAddressIsRefused(String address) {
        assertThat(naming().answer(new PeerMessage.RelaysWanted(address, 8)))
                .isInstanceOf(PeerMessage.Failure.class);
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, 0, 17, Integer.MAX_VALUE})
    void answerIsBoundedWhateverIsAskedFor(int count) {
        RelayNaming naming = naming();
        for (int i = 0; i < 100; i++) {
            naming.onReport(new Address("10.0.1." + (1 + i), 1), 9_000);
        }
        PeerMessage reply = naming.answer(new PeerMessage.RelaysWanted(PEER.toString(), count));
        assertThat(((PeerMessage.RelaysNamed) reply).addresses()).hasSize(count > 0 ? 16 : 0);
        assertThat(ImmutableList.copyOf(((PeerMessage.RelaysNamed) reply).addresses()))
                .doesNotHaveDuplicates();
    }
}
