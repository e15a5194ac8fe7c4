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
 * Owns the configuration in force: watches the service, takes newer versions from peers, checks
 * them and never goes back.
 */
public final class ConfigController {
    private static final String SERVICE = "configuration service";

    private final ConfigSource mService;
    private final DeploymentLoader mLoader;
    private final boolean mGuarded;
    private final EventLog mEvents;
    private final List<Consumer<Deployment>> mListeners = new ArrayList<>();
    private Deployment mInForce = Deployment.EMPTY;
    private ManifestDocument mManifest = new ManifestDocument(0, ImmutableList.of());
    private ImmutableMap<String, Buffer> mPartsByDigest = ImmutableMap.of();
    private long mRejected;
    private long mReportedStale;
    private boolean mServiceAvailable = true;

    /** Creates the controller; nothing is in force yet. */
    public ConfigController(ConfigSource service, EventLog events) {
        this(service, DeploymentLoader.immediate(), true, events);
    }

    /** Creates the controller; without the guard, versions may go back. */
    public ConfigController(
            ConfigSource service, DeploymentLoader loader, boolean guarded, EventLog events) {
        mService = service;
        mLoader = loader;
        mGuarded = guarded;
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

    /** Returns the bytes of a part in force by their digest. */
    public Optional<Buffer> part(String digest) {
        return Optional.ofNullable(mPartsByDigest.get(digest));
    }

    /** Registers a listener that is told of each configuration that comes into force. */
    public void onChange(Consumer<Deployment> listener) {
        mListeners.add(listener);
    }

    /**
     * Waits for a newer version at the service and brings it into force. Fails with a {@link
     * CallException}, which leaves everything as it is.
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
        return source.watch(Math.max(mInForce.version(), mRejected), wait)
                .onItem()
                .transformToUni(manifest -> take(source, name, manifest));
    }

    private Uni<Void> take(ConfigSource source, String name, ManifestDocument manifest) {
        if (!supersedes(manifest.version()) || manifest.version() == mRejected) {
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
                .invoke(next -> offer(manifest, parts, next, source))
                .replaceWithVoid()
                .onFailure(InvalidConfigException.class)
                .recoverWithItem(e -> reject(manifest, source, e));
    }

    /** Looks at the version again, since another source may have been faster. */
    private void offer(
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
        bringIntoForce(next, source);
    }

    private Void reject(ManifestDocument manifest, String source, Throwable e) {
        mRejected = manifest.version();
        mEvents.record(new ConfigEvent.Rejected(mRejected, source, e.getMessage()));
        return null;
    }

    private void bringIntoForce(Deployment next, String source) {
        Deployment previous = mInForce;
        mInForce = next;
        mEvents.record(new ConfigEvent.InForce(next.version(), previous.version(), source));
        mListeners.forEach(l -> l.accept(next));
    }

    private boolean supersedes(long offered) {
        return mGuarded
                ? VersionGuard.supersedes(offered, mInForce.version())
                : offered != mInForce.version();
    }

    private void reportStale(String name, long offered) {
        if (offered < mInForce.version() && mReportedStale != mInForce.version()) {
            mReportedStale = mInForce.version();
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
