package io.bilberrygrade.serving.wire;

import java.util.List;

/** The platform's list of instances, which may be out of date. */
public record InstanceListDocument(long version, List<InstanceDocument> instances) {}
