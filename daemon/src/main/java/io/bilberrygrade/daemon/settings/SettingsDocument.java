package io.bilberrygrade.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PlacementKind;
import java.util.List;

/** Form of the settings file. */
record SettingsDocument(
        InstanceSection instance,
        CallersSection callers,
        PeersSection peers,
        PlatformSection platform,
        PolicySection policy) {

    record InstanceSection(
            String id, @JsonProperty("data_centre") String dataCentre, String host) {}

    record CallersSection(
            Integer port,
            @JsonProperty("max_body") String maxBody,
            @JsonProperty("max_deadline") String maxDeadline,
            @JsonProperty("drain_timeout") String drainTimeout) {}

    record PeersSection(Integer port, @JsonProperty("key_file") String keyFile) {}

    record PolicySection(PlacementKind placement, List<Mechanism> disabled) {}

    record PlatformSection(String configuration, String instances) {}
}
