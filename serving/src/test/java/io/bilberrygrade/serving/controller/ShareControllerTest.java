package io.bilberrygrade.serving.controller;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.settings.PolicySettings;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class ShareControllerTest {
    private static final WorkClass QUICK =
            new WorkClass(new WorkClassId("quick"), Duration.ofSeconds(1), 0.5);
    private static final WorkClass AUDIT =
            new WorkClass(new WorkClassId("audit"), Duration.ofSeconds(30), 0.5);
    private static final Deployment DEPLOYMENT =
            new Deployment(
                    1,
                    ImmutableMap.of(QUICK.id(), QUICK, AUDIT.id(), AUDIT),
                    ImmutableMap.of(),
                    ImmutableMap.of(),
                    ImmutableMap.of());
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
    private static final double CAPACITY = 1_000;

    private final ShareController mFirst = controller("entry-1");
    private final ShareController mSecond = controller("entry-2");

    @Test
    void includesDemandOfPeers() {
        mFirst.recordArrival(request(AUDIT), 8_000, NOW);
        mSecond.recordArrival(request(AUDIT), 8_000, NOW);
        mFirst.recompute(DEPLOYMENT, CAPACITY, NOW);
        assertThat(mFirst.limited(AUDIT.id())).isFalse();
        gossip(mSecond, mFirst, NOW);
        mFirst.recompute(DEPLOYMENT, CAPACITY, NOW);
        assertThat(mFirst.limited(AUDIT.id())).isTrue();
        assertThat(mFirst.limited(QUICK.id())).isFalse();
    }

    @Test
    void demandOfLostPeersExpires() {
        mSecond.recordArrival(request(AUDIT), 8_000, NOW);
        gossip(mSecond, mFirst, NOW);
        assertThat(mFirst.fleetDemand(AUDIT.id(), NOW)).isEqualTo(800);
        assertThat(mFirst.fleetDemand(AUDIT.id(), NOW.plusSeconds(9))).isZero();
    }

    @Test
    void reportsOfAnEarlierRunDoNotReplaceLaterOnes() {
        ShareController restarted =
                new ShareController(
                        new PeerIdentity(new InstanceId("entry-2"), new Incarnation(2)),
                        PolicySettings.FULL,
                        e -> {});
        restarted.recordArrival(request(AUDIT), 1_000, NOW);
        mSecond.recordArrival(request(AUDIT), 8_000, NOW);
        gossip(restarted, mFirst, NOW);
        gossip(mSecond, mFirst, NOW.plusMillis(10));
        assertThat(mFirst.fleetDemand(AUDIT.id(), NOW)).isEqualTo(100);
    }

    @Test
    void forwardsReportsOfPeers() {
        mSecond.recordArrival(request(AUDIT), 8_000, NOW);
        gossip(mSecond, mFirst, NOW);
        ShareController third = controller("entry-3");
        gossip(mFirst, third, NOW);
        assertThat(third.fleetDemand(AUDIT.id(), NOW)).isEqualTo(800);
    }

    @Test
    void unusedShareIsLentAndReclaimed() {
        mFirst.recordArrival(request(AUDIT), 9_000, NOW);
        mFirst.recompute(DEPLOYMENT, CAPACITY, NOW);
        assertThat(mFirst.limited(AUDIT.id())).isFalse();
        mFirst.recordArrival(request(QUICK), 5_000, NOW);
        mFirst.recompute(DEPLOYMENT, CAPACITY, NOW);
        assertThat(mFirst.limited(AUDIT.id())).isTrue();
        assertThat(mFirst.limited(QUICK.id())).isFalse();
    }

    private static void gossip(ShareController from, ShareController to, Instant now) {
        GossipDigestBuilder digestBuilder = new GossipDigestBuilder();
        from.contribute(digestBuilder, now);
        PeerIdentity any = new PeerIdentity(new InstanceId("any"), new Incarnation(1));
        to.merge(any, digestBuilder.build(), now);
    }

    private static ShareController controller(String id) {
        return new ShareController(
                new PeerIdentity(new InstanceId(id), new Incarnation(1)),
                PolicySettings.FULL,
                e -> {});
    }

    private static InferenceRequest request(WorkClass workClass) {
        return new InferenceRequest(
                new RequestId("r"),
                new TeamId("team"),
                workClass,
                new ModelId("m"),
                new Prompt(100, 10, ImmutableLongArray.of()),
                NOW,
                NOW.plusSeconds(60),
                1);
    }
}
