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

final class SettingsWatchTest {
    private final List<ForwardSettings> mChanges = new ArrayList<>();
    private final List<Object> mEvents = new ArrayList<>();
    private int mPort = 1;
    private boolean mFaulty;

    private ForwardSettings read() throws InvalidSettingsException {
        if (mFaulty) {
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

    private SettingsWatch watch() throws InvalidSettingsException {
        return new SettingsWatch(this::read, read(), mChanges::add, mEvents::add);
    }

    @Test
    void handsOnEachChangeOnce() throws InvalidSettingsException {
        SettingsWatch watch = watch();
        watch.look();
        assertThat(mChanges).isEmpty();
        mPort = 2;
        watch.look();
        watch.look();
        assertThat(mChanges).containsExactly(read());
        assertThat(mEvents).isEmpty();
    }

    @Test
    void logsFaultySettingsOnceAndKeepsThoseInForce() throws InvalidSettingsException {
        SettingsWatch watch = watch();
        mFaulty = true;
        watch.look();
        watch.look();
        assertThat(mChanges).isEmpty();
        assertThat(mEvents).hasSize(1);
        mFaulty = false;
        watch.look();
        assertThat(mChanges).isEmpty();
    }
}
