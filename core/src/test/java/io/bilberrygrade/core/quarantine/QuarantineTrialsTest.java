package io.bilberrygrade.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class QuarantineTrialsTest {
    private static final Instant DUE = Instant.EPOCH.plus(Duration.ofHours(1));
    private static final Suspect PART = new Suspect("dead");

    private final QuarantineTrials mTrials = new QuarantineTrials();
    private final Quarantine mQuarantine = new Quarantine(ImmutableSet.of(PART), 2, DUE);

    @Test
    void noTrialIsAskedForBeforeItIsDue() {
        assertThat(mTrials.tryUse(mQuarantine, DUE.minusMillis(1))).isFalse();
        assertThat(mTrials.takeWanted()).isEmpty();
    }

    @Test
    void grantedTrialIsGoodForOneRequest() {
        assertThat(mTrials.tryUse(mQuarantine, DUE)).isFalse();
        assertThat(mTrials.takeWanted()).containsExactly(PART);
        mTrials.add(PART, DUE);
        assertThat(mTrials.tryUse(mQuarantine, DUE)).isTrue();
        assertThat(mTrials.tryUse(mQuarantine, DUE)).isFalse();
    }

    @Test
    void unusedTrialExpires() {
        mTrials.add(PART, DUE);
        assertThat(mTrials.tryUse(mQuarantine, DUE.plus(Duration.ofMinutes(2)))).isFalse();
    }

    @Test
    void onlyOneOfManyDaemonsIsGrantedTrial() {
        assertThat(mTrials.grant(PART, DUE)).isTrue();
        assertThat(mTrials.grant(PART, DUE)).isFalse();
        assertThat(mTrials.grant(PART, DUE.plus(QuarantinePolicy.FIRST_TRIAL))).isTrue();
    }
}
