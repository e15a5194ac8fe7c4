package io.bilberrygrade.standins.configservice;

import com.google.common.hash.Hashing;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.vertx.mutiny.core.buffer.Buffer;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Parts of all published versions, from which an old version can be served. */
final class PartHistory {
    record Part(long version, Buffer bytes) {
        PartReference reference(String key) {
            return new PartReference(
                    key, version, Hashing.sha256().hashBytes(bytes.getBytes()).toString());
        }
    }

    private final TreeMap<String, TreeMap<Long, Part>> mParts = new TreeMap<>();
    private long mVersion;

    long version() {
        return mVersion;
    }

    /** Publishes all given parts as one version. */
    void publish(Map<String, Buffer> parts) {
        mVersion++;
        parts.forEach(
                (key, bytes) ->
                        mParts.computeIfAbsent(key, k -> new TreeMap<>())
                                .put(mVersion, new Part(mVersion, bytes)));
    }

    ManifestDocument manifest(long version) {
        return new ManifestDocument(
                version,
                mParts.keySet().stream()
                        .flatMap(k -> part(k, version).map(p -> p.reference(k)).stream())
                        .toList());
    }

    /** Returns the newest revision of a part that isn't newer than {@code version}. */
    Optional<Part> part(String key, long version) {
        return Optional.ofNullable(mParts.get(key))
                .flatMap(h -> Optional.ofNullable(h.floorEntry(version)))
                .map(Map.Entry::getValue);
    }
}
