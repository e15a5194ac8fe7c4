package io.bilberrygrade.serving.wire;

import java.util.List;

/** The platform's list of instances, which lags. */
public record InstanceListDocument(long version, List<InstanceDocument> instances) {}
