package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.VersionGuard;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.ConfigEvent;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.platform.ConfigParts;
import io.bilberrygrade.serving.platform.ConfigSource;
import io.bilberrygrade.serving.platform.DeploymentLoader;
import io.bilberrygrade.serving.platform.InvalidConfigException;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Owns the configuration in force. Watches the configuration service, fetches newer versions from
 * peers, validates them and never returns to an older version.
 */
public final class ConfigController {
    private static final String SERVICE = "configuration service";

    private final ConfigSource mService;
    private final DeploymentLoader mLoader;
    private final boolean mVersionGuard;
    private final EventLog mEvents;
    private final List<Consumer<Deployment>> mListeners = new ArrayList<>();
    private Deployment mInForce = Deployment.EMPTY;
    private ManifestDocument mManifest = new ManifestDocument(0, ImmutableList.of());
    private ImmutableMap<String, Buffer> mPartsByDigest = ImmutableMap.of();
    private long mRejectedVersion;
    private long mStaleReportedVersion;
    private boolean mServiceAvailable = true;

    /** Creates the controller; nothing is in force yet. */
    public ConfigController(ConfigSource service, EventLog events) {
        this(service, DeploymentLoader.synchronous(), true, events);
    }

    /**
     * Creates the controller; without {@code versionGuard}, an older version may replace a newer
     * one.
     */
    public ConfigController(
            ConfigSource service, DeploymentLoader loader, boolean versionGuard, EventLog events) {
        mService = service;
        mLoader = loader;
        mVersionGuard = versionGuard;
        mEvents = events;
    }

    /** Returns the configuration in force. */
    public Deployment current() {
        return mInForce;
    }

    /** Returns the manifest of the version in force. */
    public ManifestDocument manifest() {
        return mManifest;
    }

    /** Returns the part with the given digest, if it belongs to the version in force. */
    public Optional<Buffer> part(String digest) {
        return Optional.ofNullable(mPartsByDigest.get(digest));
    }

    /** Registers a listener that is called with each configuration that comes into force. */
    public void onChange(Consumer<Deployment> listener) {
        mListeners.add(listener);
    }

    /**
     * Waits up to {@code wait} for a newer version at the service and brings it into force. Fails
     * with a {@link CallException}; the configuration in force then stays unchanged.
     */
    public Uni<Void> refresh(Duration wait) {
        return refreshFrom(mService, SERVICE, wait)
                .invoke(() -> mServiceAvailable = true)
                .onFailure(CallException.class)
                .invoke(this::reportUnavailable);
    }

    /** Brings a peer's version into force if it is newer than this daemon's. */
    public Uni<Void> refreshFrom(ConfigSource source, String name) {
        return refreshFrom(source, name, Duration.ZERO);
    }

    private Uni<Void> refreshFrom(ConfigSource source, String name, Duration wait) {
        return source.watch(Math.max(mInForce.version(), mRejectedVersion), wait)
                .onItem()
                .transformToUni(manifest -> fetchIfNewer(source, name, manifest));
    }

    private Uni<Void> fetchIfNewer(ConfigSource source, String name, ManifestDocument manifest) {
        if (!supersedes(manifest.version()) || manifest.version() == mRejectedVersion) {
            reportStale(name, manifest.version());
            return Uni.createFrom().voidItem();
        }
        return new ConfigFetcher(source, name, mPartsByDigest)
                .fetch(manifest)
                .onItem()
                .transformToUni(parts -> load(manifest, parts, name));
    }

    private Uni<Void> load(ManifestDocument manifest, ConfigParts parts, String source) {
        return mLoader.load(parts)
                .invoke(next -> install(manifest, parts, next, source))
                .replaceWithVoid()
                .onFailure(InvalidConfigException.class)
                .recoverWithItem(e -> reject(manifest, source, e));
    }

    /**
     * Installs a loaded version, unless another source has meanwhile installed one that it doesn't
     * supersede.
     */
    private void install(
            ManifestDocument manifest, ConfigParts parts, Deployment next, String source) {
        if (!supersedes(manifest.version())) {
            return;
        }
        mManifest = manifest;
        mPartsByDigest =
                parts.parts().values().stream()
                        .collect(
                                ImmutableMap.toImmutableMap(
                                        ConfigFetcher::digest, b -> b, (a, b) -> a));
        activate(next, source);
    }

    private Void reject(ManifestDocument manifest, String source, Throwable e) {
        mRejectedVersion = manifest.version();
        mEvents.record(new ConfigEvent.Rejected(mRejectedVersion, source, e.getMessage()));
        return null;
    }

    private void activate(Deployment next, String source) {
        Deployment previous = mInForce;
        mInForce = next;
        mEvents.record(new ConfigEvent.InForce(next.version(), previous.version(), source));
        mListeners.forEach(l -> l.accept(next));
    }

    private boolean supersedes(long offered) {
        return mVersionGuard
                ? VersionGuard.supersedes(offered, mInForce.version())
                : offered != mInForce.version();
    }

    private void reportStale(String name, long offered) {
        if (offered < mInForce.version() && mStaleReportedVersion != mInForce.version()) {
            mStaleReportedVersion = mInForce.version();
            mEvents.record(new ConfigEvent.StaleOffer(name, offered, mInForce.version()));
        }
    }

    private void reportUnavailable(Throwable e) {
        if (mServiceAvailable) {
            mServiceAvailable = false;
            mEvents.record(new ConfigEvent.SourceUnavailable(SERVICE, e.getMessage()));
        }
    }
}
