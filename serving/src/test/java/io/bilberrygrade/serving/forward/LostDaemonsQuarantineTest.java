package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.forward.RequestQuarantinePlays.Loss;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fleets on virtual time that have lost daemons, and then meet requests that crash endpoints. */
final class LostDaemonsQuarantineTest {
    private final RequestQuarantinePlays mPlays = new RequestQuarantinePlays();

    // Guards against a request that those who are left send for as long as it comes.
    @ParameterizedTest
    @CsvSource({
        "4, 1, KILLED, false", "4, 1, KILLED, true", "4, 1, CUT_OFF, false", "4, 2, KILLED, false",
        "4, 3, KILLED, false", "5, 1, KILLED, false", "5, 2, KILLED, false", "5, 2, CUT_OFF, false",
        "8, 1, KILLED, false", "8, 2, CUT_OFF, false", "8, 4, KILLED, false",
                "45, 1, KILLED, false",
        "45, 2, KILLED, false", "45, 2, CUT_OFF, false", "45, 22, KILLED, false"
    })
    void requestIsNoLongerSentByThoseThatAreLeft(int members, int left, Loss loss, boolean begins) {
        mPlays.checkRequestAfterLoss(members, left, loss, begins);
    }

    // Guards against a part of prompts that those who are left send for as long as it comes.
    @ParameterizedTest
    @CsvSource({
        "4, 1, KILLED, false",
        "4, 1, KILLED, true",
        "4, 2, CUT_OFF, false",
        "5, 2, KILLED, false",
        "8, 1, CUT_OFF, false",
        "45, 1, KILLED, false",
        "45, 2, CUT_OFF, false"
    })
    void partIsNoLongerSentByThoseThatAreLeft(int members, int left, Loss loss, boolean begins) {
        mPlays.checkPartAfterLoss(members, left, loss, begins);
    }

    // Guards against sound requests that are blamed since others can't say what they had there.
    @ParameterizedTest
    @CsvSource({
        "4, 1, CUT_OFF",
        "4, 2, CUT_OFF",
        "5, 2, KILLED",
        "8, 1, CUT_OFF",
        "45, 2, CUT_OFF"
    })
    void soundRequestsAreNotBlamedForCrashesOfOtherCauses(int members, int left, Loss loss) {
        mPlays.checkSoundRequestsAfterLoss(members, left, loss);
    }
}
