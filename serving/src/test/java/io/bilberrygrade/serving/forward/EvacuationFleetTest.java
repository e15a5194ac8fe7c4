package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The marks of evacuated data centres at four daemons with one store, on virtual time. The
 * endpoints are in data centre a. Each test guards against requests that are sent there after a
 * fault, or against a mark that doesn't end.
 */
final class EvacuationFleetTest {
    /** Bound of the deployment from the mark until no request may arrive. */
    private static final long BOUND_MILLIS = 5_000;

    private final RestoreTestFleet mFleet = new RestoreTestFleet(1);

    private boolean allEvacuated() {
        return mFleet.mMembers.stream().allMatch(m -> m.usable().isEmpty());
    }

    private boolean noneEvacuated() {
        return mFleet.mMembers.stream().allMatch(m -> m.usable().size() == 2);
    }

    private void beginEvacuated() {
        mFleet.begin(4);
        mFleet.mStore.evacuate("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(allEvacuated()).isTrue();
    }

    private void staysEvacuated(long millis) {
        for (long i = 0; i < millis; i += 20) {
            mFleet.pass(20);
            assertThat(allEvacuated()).as("after %d ms", i).isTrue();
        }
    }

    @Test
    void markAndWithdrawalReachAllWithinTheBound() {
        beginEvacuated();
        mFleet.mStore.withdraw("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @Test
    void markOfUnknownDataCentreHasNoEffect() {
        mFleet.begin(4);
        mFleet.mStore.evacuate("elsewhere");
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3})
    void markReachesDaemonThatCannotReadTheStore(int cut) {
        mFleet.begin(4);
        mFleet.mStore.cut(mFleet.mMembers.get(cut).process());
        mFleet.pass(500);
        mFleet.mStore.evacuate("a");
        mFleet.pass(BOUND_MILLIS);
        staysEvacuated(2_000);
        mFleet.mStore.withdraw("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @Test
    void markSurvivesOutageOfTheStore() {
        beginEvacuated();
        mFleet.mStore.stop();
        staysEvacuated(10_000);
        mFleet.mStore.resume();
        staysEvacuated(5_000);
    }

    @Test
    void markIsAppliedAndWithdrawnAcrossCompactedHistory() {
        mFleet.begin(4);
        mFleet.mStore.stop();
        mFleet.pass(1_000);
        mFleet.mStore.evacuate("a");
        mFleet.mStore.compact();
        mFleet.mStore.resume();
        mFleet.pass(BOUND_MILLIS);
        assertThat(allEvacuated()).isTrue();
        mFleet.mStore.compact();
        staysEvacuated(5_000);
        mFleet.mStore.stop();
        mFleet.mStore.withdraw("a");
        mFleet.mStore.compact();
        mFleet.mStore.resume();
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @Test
    void markIsKnownToStartingDaemonAndSurvivesTheLossOfTheAggregator() {
        beginEvacuated();
        RestoreTestDaemon started = mFleet.start(4);
        for (int i = 0; i < 200; i++) {
            mFleet.pass(10);
            assertThat(started.isReady() && !started.usable().isEmpty()).isFalse();
        }
        mFleet.mMembers.get(0).process().kill();
        staysEvacuated(5_000);
        mFleet.mMembers.get(1).process().kill();
        staysEvacuated(5_000);
        mFleet.mStore.withdraw("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(mFleet.mMembers.subList(2, 5)).allMatch(m -> m.usable().size() == 2);
    }

    @Test
    void lastOfQuickWritesCounts() {
        mFleet.begin(4);
        for (long i = 0; i < 40; i++) {
            mFleet.mStore.evacuate("a");
            mFleet.pass(i % 5 * 20);
            mFleet.mStore.withdraw("a");
            mFleet.pass(i % 3 * 40);
            mFleet.mStore.evacuate("a");
            mFleet.pass(i % 4 * 150);
        }
        mFleet.pass(1_500);
        staysEvacuated(3_000);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 1_980})
    void markThatOlderCopyLacksStaysIfItIsWrittenAgainWithinTheGrace(int rewriteMillis) {
        beginEvacuated();
        mFleet.restoreStore(300, BOUND_MILLIS + 2_000);
        staysEvacuated(rewriteMillis);
        mFleet.mStore.evacuate("a");
        staysEvacuated(10_000);
        mFleet.mStore.withdraw("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @Test
    void markThatOlderCopyLacksEndsIfItIsNotWrittenAgain() {
        beginEvacuated();
        mFleet.restoreStore(300, BOUND_MILLIS + 2_000);
        staysEvacuated(2_000);
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @Test
    void graceStartsAgainIfTheStoreBecomesUnreachableInIt() {
        beginEvacuated();
        mFleet.restoreStore(300, BOUND_MILLIS + 2_000);
        staysEvacuated(1_500);
        mFleet.mStore.stop();
        staysEvacuated(8_000);
        mFleet.mStore.resume();
        staysEvacuated(1_900);
        mFleet.mStore.evacuate("a");
        staysEvacuated(5_000);
    }

    @Test
    void daemonThatStartsWhileTheCopyLacksTheMarkLearnsItFromPeers() {
        beginEvacuated();
        mFleet.restoreStore(300, BOUND_MILLIS + 2_000);
        mFleet.pass(100);
        assertThat(
                        mFleet.mMembers
                                .getFirst()
                                .mState
                                .evacuations()
                                .entriesAfter(mFleet.mMembers.getFirst().position()))
                .as("a peer that has read the copy before it asks")
                .hasSize(1);
        RestoreTestDaemon started = mFleet.start(4);
        for (int i = 0; i < 150; i++) {
            mFleet.pass(10);
            assertThat(started.isReady() && !started.usable().isEmpty()).isFalse();
        }
        assertThat(started.isReady()).isTrue();
        mFleet.mStore.evacuate("a");
        staysEvacuated(8_000);
    }

    @Test
    void withdrawalThatWasLostByTheCopyIsRepeatedByTheOperator() {
        beginEvacuated();
        mFleet.mStore.withdraw("a");
        mFleet.pass(2_000);
        mFleet.restoreStore(300, 2_500);
        mFleet.pass(2_000);
        assertThat(allEvacuated()).isTrue();
        mFleet.mStore.withdraw("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(noneEvacuated()).isTrue();
    }

    @Test
    void marksOfManyDataCentresFitTheLimitOfControlTraffic() {
        mFleet.begin(4);
        IntStream.range(0, 20).forEach(i -> mFleet.mStore.evacuate("dc" + i));
        mFleet.mStore.evacuate("a");
        mFleet.pass(BOUND_MILLIS);
        assertThat(allEvacuated()).isTrue();
        assertThat(
                        mFleet.mMembers
                                .getFirst()
                                .mState
                                .evacuations()
                                .entriesAfter(mFleet.mMembers.getFirst().position()))
                .as("a peer that has read the store gets nothing in addition")
                .isEmpty();
    }
}
