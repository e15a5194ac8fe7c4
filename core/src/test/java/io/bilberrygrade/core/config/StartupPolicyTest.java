package io.bilberrygrade.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StartupPolicyTest {
    private static final Instant START = Instant.EPOCH;
    private static final int NONE = -1;

    @ParameterizedTest
    @CsvSource({
        // seconds, published, answered, peer version, engine version, version read, step
        "0, -1, 0, -1, -1, 5, ASK_PEERS",
        "11, -1, 0, -1, -1, 5, ASK_ENGINES",
        "0, 4, 0, -1, -1, 5, ASK_PEERS",
        "0, 4, 3, -1, -1, 5, ASK_PEERS",
        "0, 4, 4, -1, -1, 5, ASK_ENGINES",
        "4, 4, 0, -1, -1, 5, ASK_ENGINES",
        "0, 4, 4, -1, -1, 0, AWAIT_VERSION",
        "0, 0, 0, -1, -1, 5, ASK_ENGINES",
        "0, 0, 0, -1, 0, 5, SERVE",
        "0, 0, 0, -1, 5, 5, SERVE",
        "0, 0, 0, -1, 6, 5, AWAIT_VERSION",
        "0, 4, 1, 5, -1, 5, SERVE",
        "0, 4, 1, 6, -1, 5, AWAIT_VERSION",
        "60, 4, 1, 6, -1, 5, AWAIT_VERSION",
        "0, 4, 1, 6, -1, 7, SERVE",
        "0, 4, 1, 6, -1, 0, AWAIT_VERSION"
    })
    void servesOnlySufficientlyNewVersions(
            long seconds,
            int published,
            int answered,
            long peerVersion,
            long engineVersion,
            long version,
            StartupStep step) {
        StartupState startupState =
                new StartupState(
                        START,
                        published == NONE ? OptionalInt.empty() : OptionalInt.of(published),
                        answered,
                        optional(peerVersion),
                        optional(engineVersion),
                        version);

        assertThat(StartupPolicy.next(startupState, START.plusSeconds(seconds))).isEqualTo(step);
    }

    private static OptionalLong optional(long value) {
        return value == NONE ? OptionalLong.empty() : OptionalLong.of(value);
    }
}
