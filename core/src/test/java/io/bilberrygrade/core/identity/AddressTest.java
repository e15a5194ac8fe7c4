package io.bilberrygrade.core.identity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AddressTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.9:80", "127.0.0.1:65535", "255.0.0.1:1", "::1:80", "0.0.0.0:1"})
    void literalIsParsed(String text) {
        assertThat(Address.parse(text)).hasToString(text);
    }

    // Guards against names, which would be looked up on the event loop.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":80",
                "10.0.0.9",
                "10.0.0.9:",
                "10.0.0.9:x",
                "10.0.0.9:+80",
                "10.0.0.9:-1",
                "10.0.0.9:0",
                "10.0.0.9:65536",
                "10.0.0.9:99999999999999999999",
                "10.0.0.9:\uff18\uff10",
                "10.0.0.9 :80",
                "10.9:80",
                "10..0.9:80",
                "10.0.0.09:80",
                "10.0.0.256:80",
                "0xa.0.0.9:80",
                "\uff11\uff10.0.0.9:80",
                "[::1]:80",
                "fe80::1%lo:80",
                "localhost:80",
                "user@10.0.0.9:80",
                "http://10.0.0.9:80"
            })
    void otherFormIsRejected(String text) {
        assertThat(Address.tryParse(text)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0.0.0.0:80",
                "0.1.2.3:80",
                "224.0.0.1:80",
                "240.0.0.1:80",
                "255.255.255.255:80",
                ":::80",
                "ff02::1:80"
            })
    void remoteAddressIsThatOfOneHost(String text) {
        assertThat(Address.tryParse(text)).isPresent();
        assertThat(Address.tryParseRemote(text)).isEmpty();
    }
}
