package io.bilberrygrade.standins.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.HttpCalls;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that an accepted configuration is soon in force everywhere and stays so. */
final class ConfigurationFailureTest {
    private static final Duration IN_FORCE_BOUND = Duration.ofSeconds(6);
    private static final String STALE = "{\"staleVersion\":1}";
    private static final String VERSION_2 = "in-force version=2 ";

    @TempDir Path mFolder;

    @Test
    void reachesDaemonsThatCannotReachTheService() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 2)) {
            EntryProcess reader = d.start(0);
            EntryProcess cutOff = d.startWithoutService(1);
            reader.awaitReady();
            cutOff.awaitReady();

            d.publish("classes", ProcessDeployment.classes(2));

            Await.until(IN_FORCE_BOUND, () -> reader.logged(VERSION_2) && cutOff.logged(VERSION_2));
        }
    }

    @Test
    void refusesInvalidValuesAndTakesTheNextVersion() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            EntryProcess entry = d.start(0).awaitReady();

            d.publish("classes", "classes: [{id: short, time_to_first_token: soon, share: 7}]");
            Await.until(() -> entry.logged("BG2002"));
            assertThat(entry.logged(VERSION_2)).isFalse();
            d.publish("classes", ProcessDeployment.classes(3));

            Await.until(IN_FORCE_BOUND, () -> entry.logged("in-force version=3 "));
            assertThat(entry.log().stream().filter(l -> l.contains("BG2002"))).hasSize(1);
        }
    }

    @ParameterizedTest
    @CsvSource({"'',2", "VERSION_GUARD,1"})
    void staysInForceWhileTheServiceIsStale(String disabled, int expected) throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            EntryProcess entry = d.start(0, disabled).awaitReady();
            d.publish("classes", ProcessDeployment.classes(2));
            Await.until(IN_FORCE_BOUND, () -> entry.logged(VERSION_2));

            d.configFaults(STALE);
            Await.until(() -> entry.logged("BG2004") || entry.logged("previousVersion=2"));

            assertThat(entry.logged("version=1 previousVersion=2")).isEqualTo(expected == 1);
        }
    }

    @Test
    void startsWithTheVersionOfItsPeersWhileTheServiceIsStale() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 2)) {
            EntryProcess first = d.start(0);
            EntryProcess second = d.start(1);
            first.awaitReady();
            second.awaitReady();
            d.publish("classes", ProcessDeployment.classes(2));
            Await.until(IN_FORCE_BOUND, () -> first.logged(VERSION_2) && second.logged(VERSION_2));

            d.configFaults(STALE);
            second.kill();
            d.start(1).awaitReady();

            assertThat(second.logged("ready configVersion=2")).isTrue();
        }
    }

    @Test
    void servesNothingBelowTheTokenThatEnginesHaveSeen() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            d.publish("classes", ProcessDeployment.classes(2));
            d.configFaults(STALE);
            HttpCalls.send(
                    "POST",
                    d.engine(0).port(),
                    "/v1/orders",
                    "{\"kind\":\"SET_ROLE\",\"role\":\"mixed\",\"fencingToken\":2}");

            EntryProcess entry = d.start(0);
            Await.until(Duration.ofSeconds(40), () -> entry.logged("BG2006"));
            assertThat(entry.ready()).isFalse();
            d.configFaults("{\"staleVersion\":0}");

            entry.awaitReady();
            assertThat(entry.logged("ready configVersion=2")).isTrue();
        }
    }
}
