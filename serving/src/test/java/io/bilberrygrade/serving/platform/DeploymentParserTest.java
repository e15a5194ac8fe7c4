package io.bilberrygrade.serving.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.serving.document.Fault;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which published configurations are accepted and how faults are reported. */
final class DeploymentParserTest {
    private static final String DIGEST = "ab".repeat(32);
    private static final ImmutableMap<String, String> VALID =
            ImmutableMap.of(
                    "classes",
                    """
                    classes:
                    - {id: short, time_to_first_token: 1500ms, share: 0.4}
                    - {id: long, time_to_first_token: 30s, share: 0.6}
                    """,
                    "teams",
                    "teams: [{id: a, credential_sha256: \"" + DIGEST + "\"}]",
                    "models",
                    "models: [{id: m, version: 1}]",
                    "endpoints",
                    """
                    endpoints:
                    - {id: e, data_centre: d, address: "10.0.0.1:80", models: [m],
                       memory_tokens: 100}
                    - {id: s, data_centre: d, address: "10.0.0.1:81", service: account}
                    """);

    @Test
    void acceptsValidConfiguration() throws InvalidConfigException {
        Deployment deployment = DeploymentParser.parse(parts(VALID));

        assertThat(deployment.classes()).hasSize(2);
        assertThat(deployment.teamByCredentialDigest(DIGEST)).isPresent();
        assertThat(deployment.enginesOf(new ModelId("m"))).hasSize(1);
        assertThat(deployment.instancesOf(new ServiceId("account"))).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    classes|share: 0.4|share: 0.5|1|classes|over 1
                    classes|share: 0.4|share: 1.4|2|classes[0].share|less
                    classes|share: 0.6|share: -0.1|3|classes[1].share|greater
                    classes|id: long|id: short|3|classes[1]|a second
                    classes|1500ms|1500|2|classes[0].time_to_first_token|unit
                    classes|1500ms|0s|2|classes[0].time_to_first_token|longer
                    classes|share: 0.4|share: 0.4, weight: 3|2|classes[0].weight|unknown
                    teams|abab|xyab|1|teams[0].credential_sha256|64
                    models|version: 1|version: 0|1|models[0].version|greater
                    endpoints|tokens: 100|tokens: 0|3|endpoints[0].memory_tokens|greater
                    endpoints|models: [m]|models: [x]|2|endpoints[0]|no 'x'
                    endpoints|id: s|id: e|4|endpoints[1]|a second
                    endpoints|service: account|models: []|4|endpoints[1]|either
                    endpoints|10.0.0.1:81|10.0.0.1:99999|4|endpoints[1]|port
                    """)
    void reportsPartLineAndKeyOfFault(
            String part, String valid, String wrong, int line, String key, String message) {
        Map<String, String> texts = new HashMap<>(VALID);
        texts.compute(part, (k, v) -> v.replaceFirst(java.util.regex.Pattern.quote(valid), wrong));

        assertThat(faults(texts))
                .singleElement()
                .satisfies(
                        f -> {
                            assertThat(f.document()).isEqualTo(part);
                            assertThat(f.line()).isEqualTo(line);
                            assertThat(f.key()).isEqualTo(key);
                            assertThat(f.message()).contains(message);
                        });
    }

    @Test
    void reportsTheFaultsOfAllParts() {
        Map<String, String> texts = new HashMap<>(VALID);
        texts.remove("models");
        texts.put("classes", "classes: [");
        texts.put("teams-2", VALID.get("teams"));
        texts.put("endpoints", "x".repeat(1_000_001));

        assertThat(faults(texts))
                .extracting(Fault::document)
                .contains("models", "classes", "teams-2", "endpoints");
    }

    private static Iterable<Fault> faults(Map<String, String> texts) {
        return catchThrowableOfType(
                        InvalidConfigException.class, () -> DeploymentParser.parse(parts(texts)))
                .faults();
    }

    private static ConfigParts parts(Map<String, String> texts) {
        ImmutableMap.Builder<String, Buffer> parts = ImmutableMap.builder();
        texts.forEach((key, text) -> parts.put(key, Buffer.buffer(text)));
        return new ConfigParts(1, parts.buildOrThrow());
    }
}
