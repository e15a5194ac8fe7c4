package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A fleet whose store comes back from an older copy, in a later era. */
final class StoreCopiedBackTest {
    private static final ImmutableSet<String> ALL = ImmutableSet.of("a", "b");
    private static final ImmutableSet<String> WITHOUT_B = ImmutableSet.of("a");
    private static final EndpointRun E1 = new EndpointRun(new EndpointId("e1"), 1);
    private static final EndpointRun E2 = new EndpointRun(new EndpointId("e2"), 1);

    private final EraFleet mFleet = new EraFleet(1);

    @ParameterizedTest
    @CsvSource({"200, 2000", "1000, 5000", "10, 300"})
    void configurationNeverGoesBackAndWithdrawnKeysStayWithdrawn(long down, long older) {
        mFleet.begin(4);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(200);
        mFleet.copyBack(down, older);
        for (int i = 0; i < 20; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.version() == 5 && !m.honours("b"));
        }
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(3_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 5 && m.ready());
    }

    @Test
    void versionAfterTheReturnIsTakenThoughItsRevisionWasGivenOutBefore() {
        mFleet.begin(4);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(1_000);
        mFleet.copyBack(200, 1_100);
        mFleet.mStore.publish(9, WITHOUT_B);
        mFleet.pass(1_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 9 && !m.honours("b"));
    }

    @Test
    void keysAreNotHonouredForLongWhileTheStoreSaysLessThanIsKnown() {
        mFleet.begin(4);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(1_000);
        mFleet.copyBack(200, 2_000);
        mFleet.pass(2_000);
        assertThat(mFleet.mMembers).allMatch(EraMember::fresh);
        mFleet.pass(4_000);
        assertThat(mFleet.mMembers).noneMatch(EraMember::fresh);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(3_000);
        assertThat(mFleet.mMembers).allMatch(EraMember::fresh);
    }

    @Test
    void keysAreHonouredOnIfNothingThatIsKnownWasLost() {
        mFleet.begin(4);
        mFleet.pass(5_000);
        mFleet.copyBack(500, 2_000);
        for (int i = 0; i < 100; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.honours("a"));
        }
    }

    @Test
    void daemonThatStartsLearnsFromItsPeersBeforeItIsReady() {
        mFleet.begin(3);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(500);
        mFleet.copyBack(100, 2_000);
        EraMember started = mFleet.start(3);
        for (int i = 0; i < 200; i++) {
            mFleet.pass(10);
            assertThat(started.ready() && started.version() < 5).isFalse();
        }
        assertThat(started.ready()).isTrue();
        assertThat(started.honours("b")).isFalse();
    }

    @Test
    void fleetThatStartsAltogetherKnowsTheCopyOnlyUntilTheOperatorHasWritten() {
        mFleet.begin(3);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(500);
        mFleet.mMembers.forEach(m -> m.process().kill());
        mFleet.copyBack(100, 2_000);
        for (int i = 0; i < 3; i++) {
            mFleet.start(i);
        }
        mFleet.pass(2_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.ready() && m.version() == 1);
        mFleet.mStore.publish(5, WITHOUT_B);
        mFleet.pass(500);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 5);
    }

    @Test
    void endpointThatTheCopyLacksIsKeptUntilItWasWrittenAgain() {
        mFleet.begin(3);
        mFleet.mStore.register(CopiedStore.endpoint("e3", 1, false));
        mFleet.pass(500);
        mFleet.copyBack(200, 2_000);
        EndpointRun e3 = new EndpointRun(new EndpointId("e3"), 1);
        for (int i = 0; i < 15; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.usable().contains(e3));
        }
        mFleet.mStore.register(CopiedStore.endpoint("e3", 1, false));
        mFleet.pass(5_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.usable().contains(e3));
    }

    @Test
    void endpointThatTheCopyLacksAndThatIsNotWrittenAgainHasGone() {
        mFleet.begin(3);
        EndpointRun e3 = new EndpointRun(new EndpointId("e3"), 1);
        mFleet.mStore.register(CopiedStore.endpoint("e3", 1, false));
        mFleet.pass(500);
        mFleet.copyBack(200, 2_000);
        mFleet.pass(4_000);
        assertThat(mFleet.mMembers).noneMatch(m -> m.usable().contains(e3));
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void endpointThatLeftIsNotUsedAgainThoughTheCopyShowsItReady(boolean deregistered) {
        mFleet.begin(3);
        if (deregistered) {
            mFleet.mStore.deregister(E1);
        } else {
            mFleet.mStore.register(CopiedStore.endpoint("e1", 1, true));
        }
        mFleet.pass(500);
        mFleet.copyBack(200, 2_000);
        for (int i = 0; i < 40; i++) {
            mFleet.pass(100);
            assertThat(mFleet.mMembers).allMatch(m -> m.usable().equals(ImmutableSet.of(E2)));
        }
    }

    @Test
    void endpointWhoseEntryHadVanishedIsUsedOnceItIsWrittenAgain() {
        mFleet.begin(3);
        mFleet.mStore.deregister(E1);
        mFleet.pass(500);
        mFleet.copyBack(200, 2_000);
        mFleet.pass(1_000);
        mFleet.mStore.register(CopiedStore.endpoint("e1", 1, false));
        mFleet.pass(1_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.usable().equals(ImmutableSet.of(E1, E2)));
    }

    @Test
    void twoReturnsWithinSecondsAreHeldApart() {
        mFleet.begin(3);
        mFleet.mStore.publish(5, ALL);
        mFleet.pass(300);
        mFleet.copyBack(100, 1_000);
        mFleet.mStore.publish(5, ALL);
        mFleet.mStore.publish(6, WITHOUT_B);
        mFleet.pass(300);
        mFleet.copyBack(100, 300);
        mFleet.pass(300);
        assertThat(mFleet.mMembers).allMatch(m -> m.version() == 6 && !m.honours("b"));
        mFleet.mStore.publish(6, WITHOUT_B);
        mFleet.pass(3_000);
        assertThat(mFleet.mMembers).allMatch(m -> m.ready() && m.era() == 3);
        assertThat(mFleet.mMembers).noneMatch(m -> m.honours("b"));
    }

    @Test
    void daemonThatMissedTheReturnIsNotMisledByRevisionsOfTheNextEra() {
        mFleet.begin(4);
        EraMember cut = mFleet.mMembers.get(3);
        mFleet.mStore.cut(cut.process());
        mFleet.mMembers.forEach(
                m -> {
                    mFleet.mNetwork.cut(cut.address(), m.address());
                    mFleet.mNetwork.cut(m.address(), cut.address());
                });
        mFleet.pass(500);
        mFleet.copyBack(100, 3_000);
        mFleet.mStore.deregister(E1);
        for (int i = 0; i < 5; i++) {
            mFleet.mStore.register(CopiedStore.endpoint("n" + i, 1, false));
        }
        mFleet.pass(500);
        mFleet.mStore.heal();
        mFleet.mNetwork.heal();
        mFleet.pass(5_000);
        assertThat(cut.usable()).hasSize(6).doesNotContain(E1);
    }

    @Test
    void newerConfigurationReachesDaemonThatIsCutOffFromTheStore() {
        mFleet.begin(4);
        EraMember cut = mFleet.mMembers.get(3);
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
    void documentThatCannotBeReadIsNotTaken() {
        EraFleet fleet =
                new EraFleet(
                        1,
                        v -> v,
                        d -> {
                            throw new IOException("broken for the test");
                        });
        fleet.begin(4);
        EraMember cut = fleet.mMembers.get(3);
        fleet.mStore.cut(cut.process());
        fleet.mStore.publish(5, WITHOUT_B);
        fleet.pass(8_000);
        assertThat(cut.version()).isEqualTo(1);
        assertThat(cut.fresh()).isFalse();
    }
}
