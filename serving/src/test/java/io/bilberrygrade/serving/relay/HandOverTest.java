package io.bilberrygrade.serving.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.serving.settings.PeerKey;
import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HandOverTest {
    private static final HandOver STATED = new HandOver(2, 41, "p".repeat(64));

    private static MultiMap headers() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().set("X-Other", "1");
        STATED.write(headers);
        return headers;
    }

    // Guards against headers between daemons that reach an endpoint.
    @Test
    void statementIsTakenOffTheHeaders() {
        MultiMap headers = headers();
        assertThat(HandOver.take(headers)).contains(STATED);
        assertThat(headers.names()).containsExactly("X-Other");
    }

    @ParameterizedTest
    @CsvSource({
        "Relay-Attempts, 0",
        "Relay-Attempts, -1",
        "Relay-Attempts, x",
        "Relay-Attempts, 99999999999",
        "Relay-Config-Version, x"
    })
    void malformedStatementIsTakenOffToo(String name, String value) {
        MultiMap headers = headers().set(name, value);
        assertThat(HandOver.take(headers)).isEmpty();
        assertThat(headers.names()).containsExactly("X-Other");
    }

    @Test
    void headersStayWithinTheAllowance() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        new HandOver(Integer.MAX_VALUE, Long.MAX_VALUE, "p".repeat(64)).write(headers);
        int bytes =
                headers.entries().stream()
                        .mapToInt(e -> e.getKey().length() + e.getValue().length() + 4)
                        .sum();
        assertThat(bytes).isLessThanOrEqualTo(HandOver.MAX_HEADER_BYTES);
    }

    // Guards against requests of anyone who reaches the relay address.
    @Test
    void proofHoldsForOneRequestAndOneKey() {
        RelayAuthenticator authenticator = new RelayAuthenticator(PeerKey.of(new byte[] {1}));
        String proof = authenticator.proof("a");
        assertThat(authenticator.isValid(proof, "a")).isTrue();
        assertThat(authenticator.isValid(proof, "b")).isFalse();
        assertThat(new RelayAuthenticator(PeerKey.of(new byte[] {2})).isValid(proof, "a"))
                .isFalse();
    }
}
