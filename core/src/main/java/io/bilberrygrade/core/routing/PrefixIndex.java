package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Prompt;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Index of the prefix blocks that engines are assumed to have cached: those of prompts that this
 * daemon recently sent there, corrected by the engines' cache events. A gap in an engine's events
 * clears its entries, since any missing event may have been an eviction; later dispatches and
 * events fill the index again. The size is bounded; the least recently used blocks are evicted
 * first.
 */
public final class PrefixIndex {
    /** Fraction of an assumed cache hit that predictions count on. */
    public static final double HIT_CONFIDENCE = 0.8;

    private static final int MAX_BLOCKS = 65_536;
    private static final int MAX_ENGINES_PER_BLOCK = 4;

    private final Map<Long, Map<EndpointId, Integer>> mBlocks =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<Long, Map<EndpointId, Integer>> eldest) {
                    return size() > MAX_BLOCKS;
                }
            };
    private final Map<EndpointId, Integer> mGenerations = new HashMap<>();
    private final Map<EndpointId, Long> mSequences = new HashMap<>();

    /** Records that an engine has prefilled a prompt. */
    public void prefilled(EndpointId engine, Prompt prompt) {
        prompt.prefixHashes().forEach(h -> recordStored(engine, h));
    }

    /** Applies a cache event; events up to the last sequence number are ignored. */
    public void onEvent(EndpointId engine, long sequence, boolean stored, long hash) {
        Optional<Long> last = lastSequence(engine);
        if (last.isPresent() && sequence <= last.get()) {
            return;
        }
        if (last.isPresent() && sequence > last.get() + 1) {
            onGap(engine);
        }
        mSequences.put(engine, sequence);
        if (stored) {
            recordStored(engine, hash);
        } else {
            recordEvicted(engine, hash);
        }
    }

    /** Returns the sequence number of the last event received from an engine. */
    public Optional<Long> lastSequence(EndpointId engine) {
        return Optional.ofNullable(mSequences.get(engine));
    }

    /** Removes an engine that restarted or left. */
    public void forget(EndpointId engine) {
        onGap(engine);
        mSequences.remove(engine);
    }

    /**
     * Returns the number of leading tokens of the prompt that an engine is assumed to have cached.
     * Each hash covers the blocks before it, so the longest cached prefix is found by bisection.
     */
    public int cachedTokens(EndpointId engine, Prompt prompt) {
        if (prompt.prefixHashes().isEmpty() || !isCached(engine, prompt.prefixHashes().get(0))) {
            return 0;
        }
        int cached = 0;
        int uncached = prompt.prefixHashes().length() + 1;
        while (uncached - cached > 1) {
            int middle = (cached + uncached) >>> 1;
            if (isCached(engine, prompt.prefixHashes().get(middle - 1))) {
                cached = middle;
            } else {
                uncached = middle;
            }
        }
        return cached * Prompt.BLOCK_TOKENS;
    }

    /** Returns whether any engine is assumed to have cached the beginning of the prompt. */
    public boolean hasCachedPrefix(Prompt prompt) {
        return !prompt.prefixHashes().isEmpty()
                && mBlocks.containsKey(prompt.prefixHashes().get(0));
    }

    private boolean isCached(EndpointId engine, long hash) {
        Map<EndpointId, Integer> engines = mBlocks.get(hash);
        return engines != null && engines.getOrDefault(engine, -1).intValue() == generation(engine);
    }

    private void recordStored(EndpointId engine, long hash) {
        Map<EndpointId, Integer> engines =
                mBlocks.computeIfAbsent(hash, h -> new HashMap<>(MAX_ENGINES_PER_BLOCK));
        if (engines.size() == MAX_ENGINES_PER_BLOCK && !engines.containsKey(engine)) {
            engines.remove(engines.keySet().iterator().next());
        }
        engines.put(engine, generation(engine));
    }

    private void recordEvicted(EndpointId engine, long hash) {
        Map<EndpointId, Integer> engines = mBlocks.get(hash);
        if (engines != null) {
            engines.remove(engine);
        }
    }

    private void onGap(EndpointId engine) {
        mGenerations.merge(engine, 1, Integer::sum);
    }

    private int generation(EndpointId engine) {
        return mGenerations.getOrDefault(engine, 0);
    }
}
