package io.bilberrygrade.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.serving.document.Fault;
import io.bilberrygrade.serving.forward.ForwardSettings;
import io.bilberrygrade.serving.settings.PeerKey;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SettingsWatcherTest {
    private final List<ForwardSettings> mChanges = new ArrayList<>();
    private final List<Object> mEvents = new ArrayList<>();
    private int mPort = 1;
    private boolean mInvalid;

    private ForwardSettings read() throws InvalidSettingsException {
        if (mInvalid) {
            throw new InvalidSettingsException(
                    ImmutableList.of(new Fault("f", 1, "listen.front", "is missing")));
        }
        Address address = new Address("127.0.0.1", mPort);
        return new ForwardSettings(
                new InstanceId("i"),
                new DataCentreId("z"),
                address,
                address,
                address,
                ImmutableList.of(),
                PeerKey.of(new byte[] {1}),
                address,
                Duration.ofSeconds(5),
                Duration.ofSeconds(8),
                0.2,
                Duration.ofSeconds(10),
                100);
    }

    private SettingsWatcher watcher() throws InvalidSettingsException {
        return new SettingsWatcher(this::read, read(), mChanges::add, mEvents::add);
    }

    @Test
    void passesEachChangeOnce() throws InvalidSettingsException {
        SettingsWatcher watcher = watcher();
        watcher.reloadIfChanged();
        assertThat(mChanges).isEmpty();
        mPort = 2;
        watcher.reloadIfChanged();
        watcher.reloadIfChanged();
        assertThat(mChanges).containsExactly(read());
        assertThat(mEvents).isEmpty();
    }

    @Test
    void logsInvalidSettingsOnceAndKeepsCurrentOnes() throws InvalidSettingsException {
        SettingsWatcher watcher = watcher();
        mInvalid = true;
        watcher.reloadIfChanged();
        watcher.reloadIfChanged();
        assertThat(mChanges).isEmpty();
        assertThat(mEvents).hasSize(1);
        mInvalid = false;
        watcher.reloadIfChanged();
        assertThat(mChanges).isEmpty();
    }
}
