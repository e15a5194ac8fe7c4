package io.bilberrygrade.standins.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.LoopbackHttp;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a valid configuration soon takes effect on all daemons and isn't replaced by an older
 * one.
 */
final class ConfigurationFailureTest {
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(6);
    private static final String STALE = "{\"staleVersion\":1}";
    private static final String VERSION_2 = "in-force version=2 ";

    @TempDir Path mFolder;

    @Test
    void reachesDaemonsWithoutConnectionToTheService() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 2)) {
            EntryProcess reader = d.start(0);
            EntryProcess disconnected = d.startWithoutConfigService(1);
            reader.awaitReady();
            disconnected.awaitReady();

            d.publish("classes", ProcessDeployment.classes(2));

            Await.until(
                    IN_FORCE_TIMEOUT,
                    () -> reader.hasLogged(VERSION_2) && disconnected.hasLogged(VERSION_2));
        }
    }

    @Test
    void rejectsInvalidVersionAndAppliesTheNext() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            EntryProcess entry = d.start(0).awaitReady();

            d.publish("classes", "classes: [{id: short, time_to_first_token: soon, share: 7}]");
            Await.until(() -> entry.hasLogged("BG2002"));
            assertThat(entry.hasLogged(VERSION_2)).isFalse();
            d.publish("classes", ProcessDeployment.classes(3));

            Await.until(IN_FORCE_TIMEOUT, () -> entry.hasLogged("in-force version=3 "));
            assertThat(entry.log().stream().filter(l -> l.contains("BG2002"))).hasSize(1);
        }
    }

    @ParameterizedTest
    @CsvSource({"'',2", "VERSION_GUARD,1"})
    void keepsVersionWhileTheServiceIsStale(String disabled, int expected) throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            EntryProcess entry = d.start(0, disabled).awaitReady();
            d.publish("classes", ProcessDeployment.classes(2));
            Await.until(IN_FORCE_TIMEOUT, () -> entry.hasLogged(VERSION_2));

            d.injectConfigFaults(STALE);
            Await.until(() -> entry.hasLogged("BG2004") || entry.hasLogged("previousVersion=2"));

            assertThat(entry.hasLogged("version=1 previousVersion=2")).isEqualTo(expected == 1);
        }
    }

    @Test
    void startsWithVersionOfPeersWhileTheServiceIsStale() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 2)) {
            EntryProcess first = d.start(0);
            EntryProcess second = d.start(1);
            first.awaitReady();
            second.awaitReady();
            d.publish("classes", ProcessDeployment.classes(2));
            Await.until(
                    IN_FORCE_TIMEOUT,
                    () -> first.hasLogged(VERSION_2) && second.hasLogged(VERSION_2));

            d.injectConfigFaults(STALE);
            second.kill();
            d.start(1).awaitReady();

            assertThat(second.hasLogged("ready configVersion=2")).isTrue();
        }
    }

    @Test
    void isNotReadyBelowFencingTokenOfEngines() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            d.publish("classes", ProcessDeployment.classes(2));
            d.injectConfigFaults(STALE);
            LoopbackHttp.send(
                    "POST",
                    d.engine(0).port(),
                    "/v1/orders",
                    "{\"kind\":\"SET_ROLE\",\"role\":\"mixed\",\"fencingToken\":2}");

            EntryProcess entry = d.start(0);
            Await.until(Duration.ofSeconds(40), () -> entry.hasLogged("BG2006"));
            assertThat(entry.isReady()).isFalse();
            d.injectConfigFaults("{\"staleVersion\":0}");

            entry.awaitReady();
            assertThat(entry.hasLogged("ready configVersion=2")).isTrue();
        }
    }
}
