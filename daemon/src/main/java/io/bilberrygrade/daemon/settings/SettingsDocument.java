package io.bilberrygrade.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Form of the settings file. */
record SettingsDocument(
        InstanceSection instance,
        CallersSection callers,
        PeersSection peers,
        PlatformSection platform) {

    record InstanceSection(
            String id, @JsonProperty("data_centre") String dataCentre, String host) {}

    record CallersSection(
            Integer port,
            @JsonProperty("max_body") String maxBody,
            @JsonProperty("max_deadline") String maxDeadline,
            @JsonProperty("drain_timeout") String drainTimeout) {}

    record PeersSection(Integer port, @JsonProperty("key_file") String keyFile) {}

    record PlatformSection(String configuration, String instances) {}
}
