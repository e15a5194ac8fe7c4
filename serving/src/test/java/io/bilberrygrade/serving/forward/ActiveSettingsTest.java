package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.core.room.RoomBounds;
import io.bilberrygrade.serving.settings.PeerKey;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ActiveSettingsTest {
    private static ForwardSettings settings(int callerPort, int staleSeconds, int seedPort) {
        return settings(callerPort, staleSeconds, seedPort, DeploymentOptions.NONE);
    }

    private static ForwardSettings settings(
            int callerPort, int staleSeconds, int seedPort, DeploymentOptions options) {
        return new ForwardSettings(
                new InstanceId("i"),
                new DataCentreId("z"),
                new Address("127.0.0.1", callerPort),
                new Address("127.0.0.1", 2),
                new Address("127.0.0.1", 3),
                ImmutableList.of(new Address("127.0.0.1", seedPort)),
                PeerKey.of(new byte[] {1, 2}),
                new Address("127.0.0.1", 4),
                Duration.ofSeconds(staleSeconds),
                Duration.ofSeconds(8),
                0.2,
                Duration.ofSeconds(10),
                100,
                options);
    }

    @Test
    void equalSettingsChangeNothing() {
        ActiveSettings active = new ActiveSettings(settings(1, 5, 9));
        assertThat(settings(1, 5, 9)).isEqualTo(settings(1, 5, 9));
        assertThat(active.replace(settings(1, 5, 9)).isEmpty()).isTrue();
    }

    @Test
    void settingsIndependentOfOpenPortsAreAppliedAtOnce() {
        ActiveSettings active = new ActiveSettings(settings(1, 5, 9));
        ActiveSettings.Change change = active.replace(settings(1, 4, 8));
        assertThat(change.applied()).containsExactly("key staleness", "seeds");
        assertThat(change.pendingRestart()).isEmpty();
        assertThat(active.get()).isEqualTo(settings(1, 4, 8));
    }

    @Test
    void addressesNeedRestart() {
        ActiveSettings active = new ActiveSettings(settings(1, 5, 9));
        ActiveSettings.Change change = active.replace(settings(7, 5, 9));
        assertThat(change.applied()).isEmpty();
        assertThat(change.pendingRestart()).containsExactly("callers");
        assertThat(active.get()).isEqualTo(settings(1, 5, 9));
    }

    /** Its listener is open; a reload must neither move the stated port nor forget it. */
    @Test
    void relayNeedsRestart() {
        ForwardSettings before = settings(1, 5, 9, relay(5));
        ActiveSettings active = new ActiveSettings(before);
        ActiveSettings.Change change = active.replace(settings(1, 5, 9, relay(6)));
        assertThat(change.applied()).isEmpty();
        assertThat(change.pendingRestart()).containsExactly("relay");
        assertThat(active.get()).isEqualTo(before);
    }

    private static DeploymentOptions relay(int port) {
        return new DeploymentOptions(
                false,
                Optional.empty(),
                RoomBounds.NONE,
                Optional.of(new Address("127.0.0.1", port)));
    }
}
