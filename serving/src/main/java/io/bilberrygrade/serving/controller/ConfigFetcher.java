package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.platform.ConfigParts;
import io.bilberrygrade.serving.platform.ConfigSource;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.Optional;

/**
 * Fetches the parts of a version from a source. Unchanged parts are reused from the version in
 * force, so that a change costs one read per changed part. A part whose digest differs from the
 * manifest's was changed meanwhile or comes from a stale replica, and fails the fetch.
 */
final class ConfigFetcher {
    private final ConfigSource mSource;
    private final String mName;
    private final ImmutableMap<String, Buffer> mKnown;

    /** Creates a fetcher; {@code known} holds the parts that need not be read, by digest. */
    ConfigFetcher(ConfigSource source, String name, ImmutableMap<String, Buffer> known) {
        mSource = source;
        mName = name;
        mKnown = known;
    }

    Uni<ConfigParts> fetch(ManifestDocument manifest) {
        return Multi.createFrom()
                .iterable(manifest.parts())
                .onItem()
                .transformToUniAndConcatenate(this::fetchPart)
                .collect()
                .asList()
                .map(parts -> new ConfigParts(manifest.version(), ImmutableMap.copyOf(parts)));
    }

    private Uni<Map.Entry<String, Buffer>> fetchPart(PartReference reference) {
        return Optional.ofNullable(mKnown.get(reference.digest()))
                .map(bytes -> Uni.createFrom().item(bytes))
                .orElseGet(
                        () ->
                                mSource.read(reference)
                                        .onItem()
                                        .transformToUni(b -> verifyDigest(reference, b)))
                .map(bytes -> Map.entry(reference.key(), bytes));
    }

    private Uni<Buffer> verifyDigest(PartReference reference, Buffer bytes) {
        if (digest(bytes).equals(reference.digest())) {
            return Uni.createFrom().item(bytes);
        }
        return Uni.createFrom()
                .failure(
                        new CallException(
                                Step.CONFIGURATION,
                                mName,
                                Delivery.REFUSED,
                                "part '" + reference.key() + "' changed while it was read"));
    }

    static String digest(Buffer bytes) {
        return Hashing.sha256().hashBytes(bytes.getBytes()).toString();
    }
}
