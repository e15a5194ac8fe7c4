package io.bilberrygrade.serving.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.membership.Liveness;
import io.bilberrygrade.serving.controller.GossipContributor;
import io.bilberrygrade.serving.controller.GossipController;
import io.bilberrygrade.serving.controller.GossipDigestBuilder;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.peer.ClassUse;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.LeavingMark;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.wire.InstanceDocument;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.smallrye.mutiny.Uni;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the gossip traffic of a daemon with digests of maximum size, and that live members stay
 * known.
 */
final class GossipScaleTest {
    private static final int FRAME_BYTES = 44;
    private static final int MESSAGES_PER_ROUND = 4;
    private static final int MAX_BYTES_PER_SECOND = 2_048;
    private static final Duration WARM_UP_TIME = Duration.ofMinutes(3);
    private static final Duration MEASUREMENT_TIME = Duration.ofMinutes(1);

    private final VirtualTime mTime = new VirtualTime();
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(11);
    private final SimulatedNetwork mNetwork = new SimulatedNetwork(mRandom);

    @ParameterizedTest
    @MethodSource("sizes")
    void staysWithinTrafficLimit(int size) {
        InstanceListDocument list = list(size);
        List<GossipPeer> peers =
                IntStream.range(0, size).mapToObj(i -> new GossipPeer(list, i)).toList();
        peers.forEach(GossipPeer::start);
        mTime.advance(WARM_UP_TIME);
        long bytesBefore = mNetwork.totalSentBytes();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long nanosBefore = threads.getCurrentThreadCpuTime();

        mTime.advance(MEASUREMENT_TIME);

        double seconds = MEASUREMENT_TIME.toSeconds() * (double) size;
        double bytes = (mNetwork.totalSentBytes() - bytesBefore) / seconds;
        double framing = FRAME_BYTES * MESSAGES_PER_ROUND / 2.0;
        double micros = (threads.getCurrentThreadCpuTime() - nanosBefore) / 1_000.0 / seconds;
        System.out.printf(
                "%d daemons: each sends %.0f B/s and receives as much, %.0f us of CPU time/s%n",
                size, bytes + framing, micros);
        assertThat(2 * (bytes + framing)).isLessThan(MAX_BYTES_PER_SECOND);
        assertThat(peers).allSatisfy(p -> assertThat(p.countDead()).isZero());
        assertThat(peers).allSatisfy(p -> assertThat(p.members()).isGreaterThan(size * 9 / 10 - 1));
    }

    /** Returns small fleet sizes, or the one given by {@code -Dgossip.members}. */
    private static IntStream sizes() {
        int size = Integer.getInteger("gossip.members", 0);
        return size > 0 ? IntStream.of(size) : IntStream.of(5, 50);
    }

    private static InstanceListDocument list(int size) {
        return new InstanceListDocument(
                1,
                IntStream.range(0, size)
                        .mapToObj(
                                i ->
                                        new InstanceDocument(
                                                "entry-" + i,
                                                "dc-1",
                                                addressOf(i).host(),
                                                addressOf(i).port(),
                                                "entry",
                                                "live"))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static Address addressOf(int index) {
        return new Address("10.0.0.1", 1_000 + index);
    }

    /** Daemon that only gossips, with the maximum number of leaving marks and class uses. */
    private final class GossipPeer implements SimulatedPeer, GossipContributor {
        private final SimulatedProcess mProcess = new SimulatedProcess(mTime, Duration.ZERO);
        private final PeerIdentity mIdentity;
        private final Address mAddress;
        private final MembershipController mMembership;
        private final GossipController mGossip;

        GossipPeer(InstanceListDocument list, int index) {
            mIdentity =
                    new PeerIdentity(
                            new InstanceId("entry-" + index), new Incarnation(1_764_800_000_000L));
            mAddress = addressOf(index);
            mMembership =
                    new MembershipController(
                            mIdentity,
                            () -> Uni.createFrom().item(list),
                            RandomSource.SPLIT_MIX_64.create(mRandom.nextLong()),
                            e -> {},
                            mTime.now());
            mGossip = new GossipController(mMembership, mNetwork.of(this), mProcess);
            mGossip.register(this);
            mNetwork.attach(mAddress, this);
        }

        void start() {
            mMembership.refresh().subscribe().with(v -> {});
            mProcess.schedule(Duration.ofMillis(mRandom.nextInt(1_000)), this::round);
        }

        private void round() {
            mProcess.schedule(MembershipController.GOSSIP_INTERVAL, this::round);
            mGossip.round().subscribe().with(v -> {});
        }

        /** Returns the number of peers that are considered dead although all are alive. */
        long countDead() {
            return mMembership.instances().instances().stream()
                    .map(i -> mMembership.liveness(new InstanceId(i.id()), mProcess.instant()))
                    .filter(l -> l == Liveness.DEAD)
                    .count();
        }

        int members() {
            return mMembership.alive(mProcess.instant()).size();
        }

        @Override
        public void contribute(GossipDigestBuilder digestBuilder, Instant now) {
            digestBuilder.configVersion(1_000_000);
            for (int i = 0; i < GossipDigest.MAX_LEAVING; i++) {
                digestBuilder.add(new LeavingMark("summary-engine-1" + i, 12_345));
            }
            for (int i = 0; i < GossipDigest.MAX_CLASS_USES; i++) {
                digestBuilder.add(
                        new ClassUse("entry-100", 1_764_800_000_000L, "audit", 1.5, 70_000, 999));
            }
        }

        @Override
        public boolean merge(PeerIdentity from, GossipDigest digest, Instant now) {
            return false;
        }

        @Override
        public SimulatedProcess process() {
            return mProcess;
        }

        @Override
        public PeerIdentity identity() {
            return mIdentity;
        }

        @Override
        public Address address() {
            return mAddress;
        }

        @Override
        public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
            return Uni.createFrom().item(mGossip.onGossip(from, (PeerMessage.Gossip) message));
        }
    }
}
