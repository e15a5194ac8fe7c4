package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.routing.PrefixIndex;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.wire.CacheEvent;
import io.bilberrygrade.serving.wire.CacheEventKind;
import io.bilberrygrade.serving.wire.CacheEventsDocument;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Optional;

/**
 * Polls load and cache events in the background, one engine at a time, starting with the oldest
 * load report. Answers carry load reports too, so that only engines with few requests of this
 * daemon need polling.
 */
public final class LoadController {
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(1);
    private static final int HEX_RADIX = 16;

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final InstantSource mClock;

    /** Creates the controller. */
    public LoadController(ModelEngine engine, EndpointController endpoints, InstantSource clock) {
        mEngine = engine;
        mEndpoints = endpoints;
        mClock = clock;
    }

    /** Reads the engine whose load report is oldest, unless all reports are recent. */
    public Uni<Void> readOldest() {
        Instant now = mClock.instant();
        return mEndpoints.watched().stream()
                .min(Comparator.comparing(e -> mEndpoints.lastLoadUpdate(e.id())))
                .filter(e -> mEndpoints.lastLoadUpdate(e.id()).isBefore(now.minus(MAX_REPORT_AGE)))
                .map(this::read)
                .orElseGet(() -> Uni.createFrom().voidItem());
    }

    private Uni<Void> read(Endpoint engine) {
        mEndpoints.recordLoadRequested(engine.id(), mClock.instant());
        return mEngine.load(engine)
                .invoke(l -> mEndpoints.recordLoad(engine.id(), l, mClock.instant()))
                .chain(l -> readCacheEvents(engine))
                .onFailure(CallException.class)
                .recoverWithItem((Void) null);
    }

    private Uni<Void> readCacheEvents(Endpoint engine) {
        Optional<Long> last = mEndpoints.prefixes().lastSequence(engine.id());
        return mEngine.cacheEvents(engine, last.orElse(0L))
                .invoke(d -> applyCacheEvents(engine.id(), d))
                .replaceWithVoid();
    }

    private void applyCacheEvents(EndpointId engine, CacheEventsDocument document) {
        PrefixIndex prefixes = mEndpoints.prefixes();
        for (CacheEvent event : document.events()) {
            boolean stored = event.kind() == CacheEventKind.STORED;
            long hash = Long.parseUnsignedLong(event.hash(), HEX_RADIX);
            prefixes.onEvent(engine, event.sequence(), stored, hash);
        }
    }
}
