package io.bilberrygrade.serving.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a daemon that asks too often, stops asking, or takes an odd answer for relays. */
final class RelayDirectoryTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address AGGREGATOR = new Address("10.0.0.1", 1);
    private static final Address STANDBY = new Address("10.0.0.2", 1);
    private static final Address SEED = new Address("10.0.0.3", 1);
    private static final Address SECOND_SEED = new Address("10.0.0.4", 1);
    private static final Address THIRD_SEED = new Address("10.0.0.5", 1);
    private static final Address SELF = new Address("10.0.0.9", 1);
    private static final Address RELAY = new Address("10.0.1.1", 9);

    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(7);
    private final List<Address> mAsked = new ArrayList<>();
    private final Map<Address, Supplier<Uni<PeerMessage>>> mReplies = new HashMap<>();
    private final PeerNetwork mNetwork = this::call;
    private final FleetView mFleet =
            new FleetView(
                    new FleetMember(SELF, 9), ImmutableList.of(SEED, SECOND_SEED, THIRD_SEED));
    private final RelayNaming mNaming =
            new RelayNaming(
                    new FleetMember(SELF, 9),
                    DeploymentOptions.NONE,
                    () -> true,
                    this::now,
                    mRandom);
    private final RelayDirectory mDirectory =
            new RelayDirectory(mNetwork, mFleet, mNaming, this::now, mRandom);
    private Instant mNow = T0;

    private Instant now() {
        return mNow;
    }

    private Uni<PeerMessage> call(Address peer, PeerMessage message, Duration timeout) {
        assertThat(message).isEqualTo(new PeerMessage.RelaysWanted(SELF.toString(), 8));
        mAsked.add(peer);
        return mReplies.getOrDefault(peer, RelayDirectoryTest::failure).get();
    }

    private static Uni<PeerMessage> failure() {
        return Uni.createFrom()
                .failure(
                        new CallException(
                                Step.PEER_CALL, "peer", Delivery.NOT_DELIVERED, "refused"));
    }

    private static Uni<PeerMessage> naming(String... addresses) {
        return Uni.createFrom().item(new PeerMessage.RelaysNamed(Arrays.asList(addresses)));
    }

    private void meetOthers() {
        mFleet.recordContact(new FleetMember(AGGREGATOR, 1), mNow);
        mFleet.recordContact(new FleetMember(STANDBY, 2), mNow);
    }

    private void refreshAt(long millis) {
        mNow = T0.plusMillis(millis);
        meetOthers();
        mDirectory.refresh();
    }

    @Test
    void aggregatorIsAskedAtMostOncePerSecond() {
        mReplies.put(AGGREGATOR, () -> naming(RELAY.toString()));
        for (int millis = 0; millis < 3_000; millis += 50) {
            refreshAt(millis);
        }
        assertThat(mAsked).containsExactly(AGGREGATOR, AGGREGATOR, AGGREGATOR);
        assertThat(mDirectory.choose()).contains(RELAY);
    }

    @Test
    void roundsThatFailStartAtMostOncePerSecond() {
        for (int millis = 0; millis < 3_000; millis += 50) {
            refreshAt(millis);
        }
        assertThat(mAsked)
                .containsExactly(
                        AGGREGATOR,
                        STANDBY,
                        SEED,
                        SECOND_SEED,
                        AGGREGATOR,
                        STANDBY,
                        THIRD_SEED,
                        SEED,
                        AGGREGATOR,
                        STANDBY,
                        SECOND_SEED,
                        THIRD_SEED);
        assertThat(mDirectory.isEmpty()).isTrue();
    }

    @Test
    void onlyOneCallIsUnderWay() {
        List<UniEmitter<? super PeerMessage>> pending = new ArrayList<>();
        mReplies.put(AGGREGATOR, () -> Uni.createFrom().emitter(pending::add));
        refreshAt(0);
        refreshAt(5_000);
        assertThat(mAsked).containsExactly(AGGREGATOR);
        pending.getFirst().complete(new PeerMessage.RelaysNamed(List.of(RELAY.toString())));
        assertThat(mDirectory.choose()).contains(RELAY);
        refreshAt(6_000);
        assertThat(mAsked).containsExactly(AGGREGATOR, AGGREGATOR);
    }

    static List<Supplier<Uni<PeerMessage>>> repliesWithoutRelays() {
        return List.of(
                RelayDirectoryTest::failure,
                RelayDirectoryTest::naming,
                () -> naming((String) null),
                () -> naming("", "host:1", "0.0.0.0:1", "10.0.0.1:0"),
                () -> Uni.createFrom().item(new PeerMessage.RelaysNamed(null)),
                () -> Uni.createFrom().item(new PeerMessage.Failure("unknown")),
                () -> Uni.createFrom().nullItem(),
                () -> {
                    throw new IllegalStateException("closed");
                });
    }

    @ParameterizedTest
    @MethodSource("repliesWithoutRelays")
    void standbyIsAskedIfTheAggregatorNamesNone(Supplier<Uni<PeerMessage>> reply) {
        mReplies.put(AGGREGATOR, reply);
        mReplies.put(STANDBY, () -> naming(RELAY.toString()));
        refreshAt(0);
        assertThat(mAsked).containsExactly(AGGREGATOR, STANDBY);
        assertThat(mDirectory.choose()).contains(RELAY);
    }

    @Test
    void relaysAtHandStayIfNoneAreNamed() {
        mReplies.put(AGGREGATOR, () -> naming(RELAY.toString()));
        refreshAt(0);
        mReplies.clear();
        refreshAt(9_999);
        assertThat(mDirectory.choose()).contains(RELAY);
        refreshAt(10_000);
        assertThat(mDirectory.choose()).isEmpty();
    }

    @Test
    void answerWithMoreThanWantedIsCut() {
        String[] many = new String[100];
        Arrays.setAll(many, i -> "10.0.2." + (1 + i) + ":9");
        mReplies.put(AGGREGATOR, () -> naming(many));
        refreshAt(0);
        for (int i = 0; i < 100; i++) {
            Address relay = mDirectory.choose().orElseThrow();
            mDirectory.recordStarted(relay);
            assertThat(Arrays.asList(many).subList(0, 8)).contains(relay.toString());
        }
    }

    @Test
    void aggregatorThatIsCutOffNamesMembersToItself() {
        mNaming.onReport(new Address(RELAY.host(), 1), RELAY.port());
        mDirectory.refresh();
        assertThat(mAsked).isEmpty();
        assertThat(mDirectory.choose()).contains(RELAY);
    }

    @Test
    void failedAndRefusingRelaysAreLeftOut() {
        mReplies.put(AGGREGATOR, () -> naming(RELAY.toString()));
        refreshAt(0);
        mDirectory.recordFailed(RELAY);
        assertThat(mDirectory.choose()).isEmpty();
        assertThat(mDirectory.isEmpty()).isFalse();
        refreshAt(1_000);
        assertThat(mDirectory.choose()).contains(RELAY);
        mDirectory.recordRefused(RELAY, Optional.of(Duration.ofSeconds(2)));
        refreshAt(2_999);
        assertThat(mDirectory.choose()).isEmpty();
        refreshAt(3_000);
        assertThat(mDirectory.choose()).contains(RELAY);
    }
}
