package io.bilberrygrade.serving.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The same in fleets of 45 and 410 daemons, with crashes faster than daemons report them. */
final class RequestQuarantineLargeFleetTest {
    private final RequestQuarantinePlays mPlays = new RequestQuarantinePlays();

    @ParameterizedTest
    @CsvSource({
        "45, 168, true",
        "45, 168, false",
        "410, 1536, true",
        "410, 1536, false",
        "410, 15, false"
    })
    void requestIsNoLongerSentByAnyDaemon(int members, int perSecond, boolean begins) {
        mPlays.checkRequest(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"45, 168, false", "410, 1536, true"})
    void requestWithoutPromptIsNoLongerSentByAnyDaemon(int members, int perSecond, boolean begins) {
        mPlays.checkRequestWithoutPrompt(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"45, 168, true", "45, 168, false", "410, 1536, true"})
    void restartOfOneInThreeKeepsTheRequestQuarantined(int members, int perSecond, boolean begins) {
        mPlays.checkRestartOfOneInThree(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"45, 168, true", "45, 168, false", "410, 1536, true"})
    void twoRequestsAtOnceAreNoLongerSent(int members, int perSecond, boolean begins) {
        mPlays.checkTwoRequests(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"45, 168, true", "45, 168, false", "410, 1536, true"})
    void requestAndPartAtOnceAreNoLongerSent(int members, int perSecond, boolean begins) {
        mPlays.checkRequestAndPart(members, perSecond, begins);
    }

    @ParameterizedTest
    @CsvSource({"45, 168, true", "45, 168, false", "410, 1536, true"})
    void quarantineLeavesRoomInTheControlTraffic(int members, int perSecond, boolean begins) {
        mPlays.checkControlTraffic(members, perSecond, begins);
    }
}
