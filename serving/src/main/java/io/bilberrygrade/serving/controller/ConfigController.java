package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.VersionGuard;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ConfigEvent;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.platform.ConfigParts;
import io.bilberrygrade.serving.platform.ConfigSource;
import io.bilberrygrade.serving.platform.DeploymentParser;
import io.bilberrygrade.serving.platform.InvalidConfigException;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Owns the configuration in force: watches the service, fetches the parts and checks them. */
public final class ConfigController {
    private static final String SERVICE = "configuration service";

    private final ConfigSource mSource;
    private final EventLog mEvents;
    private final List<Consumer<Deployment>> mListeners = new ArrayList<>();
    private Deployment mInForce = Deployment.EMPTY;

    /** Creates the controller; nothing is in force yet. */
    public ConfigController(ConfigSource source, EventLog events) {
        mSource = source;
        mEvents = events;
    }

    /** Returns the configuration in force. */
    public Deployment current() {
        return mInForce;
    }

    /** Registers a listener that is told of each configuration that comes into force. */
    public void onChange(Consumer<Deployment> listener) {
        mListeners.add(listener);
    }

    /** Waits for a newer version and brings it into force. Failures leave everything as it is. */
    public Uni<Void> refresh(Duration wait) {
        return mSource.watch(mInForce.version(), wait)
                .onItem()
                .transformToUni(this::fetch)
                .onFailure(CallException.class)
                .invoke(e -> mEvents.record(unavailable(e)));
    }

    private Uni<Void> fetch(ManifestDocument manifest) {
        if (!VersionGuard.supersedes(manifest.version(), mInForce.version())) {
            reportStale(manifest.version());
            return Uni.createFrom().voidItem();
        }
        return Multi.createFrom()
                .iterable(manifest.parts())
                .onItem()
                .transformToUniAndConcatenate(this::fetchPart)
                .collect()
                .asList()
                .invoke(parts -> offer(manifest.version(), parts))
                .replaceWithVoid();
    }

    private Uni<Map.Entry<String, Buffer>> fetchPart(PartReference reference) {
        return mSource.read(reference.key())
                .onItem()
                .transformToUni(
                        bytes -> {
                            String digest = Hashing.sha256().hashBytes(bytes.getBytes()).toString();
                            if (digest.equals(reference.digest())) {
                                return Uni.createFrom().item(Map.entry(reference.key(), bytes));
                            }
                            return Uni.createFrom().failure(mismatch(reference.key()));
                        });
    }

    private void offer(long version, List<Map.Entry<String, Buffer>> parts) {
        try {
            bringIntoForce(
                    DeploymentParser.parse(new ConfigParts(version, ImmutableMap.copyOf(parts))),
                    SERVICE);
        } catch (InvalidConfigException e) {
            mEvents.record(new ConfigEvent.Rejected(version, SERVICE, e.getMessage()));
        }
    }

    private void bringIntoForce(Deployment next, String source) {
        if (!VersionGuard.supersedes(next.version(), mInForce.version())) {
            return;
        }
        Deployment previous = mInForce;
        mInForce = next;
        mEvents.record(new ConfigEvent.InForce(next.version(), previous.version(), source));
        mListeners.forEach(l -> l.accept(next));
    }

    private void reportStale(long offered) {
        if (offered < mInForce.version()) {
            mEvents.record(new ConfigEvent.StaleOffer(SERVICE, offered, mInForce.version()));
        }
    }

    private static CallException mismatch(String key) {
        return new CallException(
                Step.CONFIGURATION,
                SERVICE,
                Delivery.REFUSED,
                "part '" + key + "' changed while it was read");
    }

    private static ConfigEvent unavailable(Throwable e) {
        return new ConfigEvent.SourceUnavailable(SERVICE, e.getMessage());
    }
}
