package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.CacheEventKind;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.function.BiConsumer;

/** Bounded LRU cache of prompt prefixes, keyed by cumulative block hash. */
final class PrefixCache {
    static final long BLOCK_TOKENS = 1024;

    private final LinkedHashMap<String, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final long mMaxBlocks;
    private final BiConsumer<CacheEventKind, String> mEvents;

    PrefixCache(long maxTokens, BiConsumer<CacheEventKind, String> events) {
        mMaxBlocks = maxTokens / BLOCK_TOKENS;
        mEvents = events;
    }

    /** Returns the length of the longest cached prefix in tokens and marks its blocks as used. */
    long lookUp(List<String> hashes) {
        long blocks = 0;
        for (String hash : hashes) {
            if (mBlocks.get(hash) == null) {
                break;
            }
            blocks++;
        }
        return blocks * BLOCK_TOKENS;
    }

    void store(List<String> hashes) {
        for (String hash : hashes) {
            if (mBlocks.put(hash, true) == null) {
                mEvents.accept(CacheEventKind.STORED, hash);
            }
            evict();
        }
    }

    private void evict() {
        while (mBlocks.size() > mMaxBlocks) {
            String oldest = mBlocks.keySet().iterator().next();
            mBlocks.remove(oldest);
            mEvents.accept(CacheEventKind.EVICTED, oldest);
        }
    }
}
