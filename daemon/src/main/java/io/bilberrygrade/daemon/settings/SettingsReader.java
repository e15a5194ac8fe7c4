package io.bilberrygrade.daemon.settings;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PeerKey;
import io.bilberrygrade.serving.settings.PlacementKind;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.serving.settings.Units;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and checks a settings file. */
public final class SettingsReader {
    private static final String DEFAULT_MAX_BODY = "16MiB";
    private static final String DEFAULT_MAX_DEADLINE = "15min";
    private static final String DEFAULT_DRAIN_TIMEOUT = "15min";

    private SettingsReader() {}

    /** Reads the file; relative paths in it are relative to its folder. */
    public static EntrySettings read(Path file) throws InvalidSettingsException {
        try {
            SettingsDocument d = Mappers.YAML.readValue(file.toFile(), SettingsDocument.class);
            return convert(d, file.toAbsolutePath().getParent());
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw new InvalidSettingsException(file + ": " + e.getMessage(), e);
        }
    }

    private static EntrySettings convert(SettingsDocument d, Path folder) throws IOException {
        Path keyFile = folder.resolve(d.peers().keyFile());
        return new EntrySettings(
                new InstanceId(d.instance().id()),
                new DataCentreId(d.instance().dataCentre()),
                d.instance().host(),
                d.callers().port(),
                d.peers().port(),
                Address.parse(d.platform().configuration()),
                Address.parse(d.platform().instances()),
                PeerKey.of(Files.readAllBytes(keyFile)),
                Units.bytes(or(d.callers().maxBody(), DEFAULT_MAX_BODY)),
                Units.duration(or(d.callers().maxDeadline(), DEFAULT_MAX_DEADLINE)),
                Units.duration(or(d.callers().drainTimeout(), DEFAULT_DRAIN_TIMEOUT)),
                policy(d.policy()));
    }

    private static PolicySettings policy(SettingsDocument.PolicySection section) {
        if (section == null) {
            return PolicySettings.FULL;
        }
        PlacementKind placement =
                section.placement() == null ? PlacementKind.PREDICTIVE : section.placement();
        ImmutableSet<Mechanism> disabled =
                section.disabled() == null
                        ? ImmutableSet.of()
                        : ImmutableSet.copyOf(section.disabled());
        return new PolicySettings(placement, disabled);
    }

    private static String or(String value, String defaultValue) {
        return value == null ? defaultValue : value;
    }
}
