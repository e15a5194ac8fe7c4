package io.bilberrygrade.serving.wire;

import java.util.List;

/** Manifest of the published configuration: a monotonically increasing version and its parts. */
public record ManifestDocument(long version, List<PartReference> parts) {}
