package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A fleet whose store is restored from an older copy, in a later era. */
final class StoreRestoreTest {
    private static final ImmutableSet<String> ALL = ImmutableSet.of("a", "b");
    private static final ImmutableSet<String> WITHOUT_B = ImmutableSet.of("a");
    private static final EndpointRun E1 = new EndpointRun(new EndpointId("e1"), 1);
    private static final EndpointRun E2 = new EndpointRun(new EndpointId("e2"), 1);

    private final RestoreTestFleet mFleet = new RestoreTestFleet(1);

    @ParameterizedTest
    @CsvSource({"200, 2000", "1000, 5000", "10, 300"})
    void configurationNeverRollsBackAndRevokedKeysStayRevoked(long down, long older) {
        mFleet.begin(4);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(200);
        mFleet.restoreStore(down, older);
        for (int i = 0; i < 20; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.version() == 5 && !m.honours("b"));
        }
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(3_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 5 && m.isReady());
    }

    @Test
    void versionAfterTheRestoreIsAppliedAlthoughItsRevisionIsReused() {
        mFleet.begin(4);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(1_000);
        mFleet.restoreStore(200, 1_100);
        mFleet.mStore.publish(9, WITHOUT_B);
        mFleet.pass(1_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 9 && !m.honours("b"));
    }

    @Test
    void keysExpireWhileTheStoreHoldsAnOlderVersionThanTheDaemons() {
        mFleet.begin(4);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(1_000);
        mFleet.restoreStore(200, 2_000);
        mFleet.pass(2_000);
        assertThat(mFleet.mMembers).allMatch(RestoreTestDaemon::isFresh);
        mFleet.pass(4_000);
        assertThat(mFleet.mMembers).noneMatch(RestoreTestDaemon::isFresh);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(3_000);
        assertThat(mFleet.mMembers).allMatch(RestoreTestDaemon::isFresh);
    }

    @Test
    void keysStayValidIfTheRestoreLostNothing() {
        mFleet.begin(4);
        mFleet.pass(5_000);
        mFleet.restoreStore(500, 2_000);
        for (int i = 0; i < 100; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.honours("a"));
        }
    }

    @Test
    void startingDaemonLearnsTheVersionOfItsPeersBeforeItIsReady() {
        mFleet.begin(3);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(500);
        mFleet.restoreStore(100, 2_000);
        RestoreTestDaemon started = mFleet.start(3);
        for (int i = 0; i < 200; i++) {
            mFleet.pass(10);
            assertThat(started.isReady() && started.version() < 5).isFalse();
        }
        assertThat(started.isReady()).isTrue();
        assertThat(started.honours("b")).isFalse();
    }

    @Test
    void fleetRestartedTogetherServesTheCopyUntilTheOperatorPublishesAgain() {
        mFleet.begin(3);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(500);
        mFleet.mMembers.forEach(m -> m.process().kill());
        mFleet.restoreStore(100, 2_000);
        for (int i = 0; i < 3; i++) {
            mFleet.start(i);
        }
        mFleet.pass(2_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.isReady() && m.version() == 1);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(500);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 5);
    }

    @Test
    void endpointMissingFromTheCopyIsKeptUntilItIsRewritten() {
        mFleet.begin(3);
        mFleet.mStore.register(RestoredStore.endpoint("e3", 1, false));
        mFleet.pass(500);
        mFleet.restoreStore(200, 2_000);
        EndpointRun e3 = new EndpointRun(new EndpointId("e3"), 1);
        for (int i = 0; i < 15; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.usable().contains(e3));
        }
        mFleet.mStore.register(RestoredStore.endpoint("e3", 1, false));
        mFleet.pass(5_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.usable().contains(e3));
    }

    @Test
    void endpointMissingFromTheCopyAndNotRewrittenIsRemoved() {
        mFleet.begin(3);
        EndpointRun e3 = new EndpointRun(new EndpointId("e3"), 1);
        mFleet.mStore.register(RestoredStore.endpoint("e3", 1, false));
        mFleet.pass(500);
        mFleet.restoreStore(200, 2_000);
        mFleet.pass(4_000);
        assertThat(mFleet.mMembers).noneMatch(m -> m.usable().contains(e3));
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void endpointThatLeftIsNotUsedAgainAlthoughTheCopyShowsItReady(boolean deregistered) {
        mFleet.begin(3);
        if (deregistered) {
            mFleet.mStore.deregister(E1);
        } else {
            mFleet.mStore.register(RestoredStore.endpoint("e1", 1, true));
        }
        mFleet.pass(500);
        mFleet.restoreStore(200, 2_000);
        for (int i = 0; i < 40; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.usable().equals(ImmutableSet.of(E2)));
        }
    }

    @Test
    void endpointWhoseEntryHadVanishedIsUsedOnceItIsRewritten() {
        mFleet.begin(3);
        mFleet.mStore.deregister(E1);
        mFleet.pass(500);
        mFleet.restoreStore(200, 2_000);
        mFleet.pass(1_000);
        mFleet.mStore.register(RestoredStore.endpoint("e1", 1, false));
        mFleet.pass(1_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.usable().equals(ImmutableSet.of(E1, E2)));
    }

    @Test
    void twoRestoresWithinSecondsAreDistinguished() {
        mFleet.begin(3);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(300);
        mFleet.restoreStore(100, 1_000);
        mFleet.mStore.publish(5, ALL);
        mFleet.mStore.publish(6, WITHOUT_B);
        mFleet.pass(300);
        mFleet.restoreStore(100, 300);
        mFleet.pass(300);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 6 && !m.honours("b"));
        mFleet.mStore.publish(6, WITHOUT_B);
        mFleet.pass(3_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.isReady() && m.era() == 3);
        assertThat(mFleet.mMembers).noneMatch(m -> m.honours("b"));
    }

    @Test
    void daemonThatMissedTheRestoreIsNotMisledByReusedRevisions() {
        mFleet.begin(4);
        RestoreTestDaemon cut = mFleet.mMembers.get(3);
        mFleet.mStore.cut(cut.process());
        mFleet.mMembers.forEach(
                m -> {
                    mFleet.mNetwork.cut(cut.address(), m.address());
                    mFleet.mNetwork.cut(m.address(), cut.address());
                });
        mFleet.pass(500);
        mFleet.restoreStore(100, 3_000);
        mFleet.mStore.deregister(E1);
        for (int i = 0; i < 5; i++) {
            mFleet.mStore.register(RestoredStore.endpoint("n" + i, 1, false));
        }
        mFleet.pass(500);
        mFleet.mStore.heal();
        mFleet.mNetwork.heal();
        mFleet.pass(5_000);
        assertThat(cut.usable()).hasSize(6).doesNotContain(E1);
    }

    @Test
    void newerConfigurationReachesDaemonPartitionedFromTheStore() {
        mFleet.begin(4);
        RestoreTestDaemon cut = mFleet.mMembers.get(3);
        mFleet.mStore.cut(cut.process());
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(3_000);
        assertThat(cut.version()).isEqualTo(5);
        for (int i = 0; i < 100; i++) {
            mFleet.pass(100);
            assertThat(cut.honours("a")).isTrue();
            assertThat(cut.honours("b")).isFalse();
        }
    }

    @Test
    void undecodableDocumentIsNotApplied() {
        RestoreTestFleet fleet =
                new RestoreTestFleet(
                        1,
                        v -> v,
                        d -> {
                            throw new IOException("broken for the test");
                        });
        fleet.begin(4);
        RestoreTestDaemon cut = fleet.mMembers.get(3);
        fleet.mStore.cut(cut.process());
        fleet.mStore.publish(5, WITHOUT_B);
        fleet.pass(8_000);
        assertThat(cut.version()).isEqualTo(1);
        assertThat(cut.isFresh()).isFalse();
    }
}
