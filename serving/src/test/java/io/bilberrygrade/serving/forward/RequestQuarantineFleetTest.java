package io.bilberrygrade.serving.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fleets on virtual time in which one request crashes endpoint after endpoint. */
final class RequestQuarantineFleetTest {
    private final RequestQuarantinePlays mPlays = new RequestQuarantinePlays();

    @ParameterizedTest
    @CsvSource({"4, 15, true", "4, 15, false", "410, 15, true"})
    void requestIsNoLongerSentByAnyDaemon(int members, int perSecond, boolean begins) {
        mPlays.checkRequest(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"4, 15, true", "4, 15, false", "45, 168, true"})
    void requestWithoutPromptIsNoLongerSentByAnyDaemon(int members, int perSecond, boolean begins) {
        mPlays.checkRequestWithoutPrompt(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"4, 15, true", "4, 15, false"})
    void restartOfOneInThreeKeepsTheRequestQuarantined(int members, int perSecond, boolean begins) {
        mPlays.checkRestartOfOneInThree(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"4, 15, true", "4, 15, false"})
    void twoRequestsAtOnceAreNoLongerSent(int members, int perSecond, boolean begins) {
        mPlays.checkTwoRequests(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"4, 15, true", "4, 15, false"})
    void requestAndPartAtOnceAreNoLongerSent(int members, int perSecond, boolean begins) {
        mPlays.checkRequestAndPart(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"4, true", "4, false", "45, true", "45, false"})
    void requestThatIsAnsweredIsNotBlamedForCrashesOfOtherCauses(int members, boolean begun) {
        mPlays.checkAnsweredRequest(members, begun);
    }
}
