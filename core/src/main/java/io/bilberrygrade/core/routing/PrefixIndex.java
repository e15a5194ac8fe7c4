package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Prompt;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Prefix blocks that engines are believed to have cached: what this daemon sent there lately, put
 * right by cache events as they come. A gap in an engine's events forgets all that was believed of
 * it, since any of the missing events may have been an eviction; later dispatches and events fill
 * the index again. Bounded: the blocks that went unused longest go first.
 */
public final class PrefixIndex {
    /** Part of a believed hit that predictions count on. */
    public static final double TRUST = 0.8;

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

    /** Notes that an engine has prefilled a prompt. */
    public void prefilled(EndpointId engine, Prompt prompt) {
        prompt.prefixHashes().forEach(h -> stored(engine, h));
    }

    /** Takes over one cache event; events that are known already change nothing. */
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
            stored(engine, hash);
        } else {
            evicted(engine, hash);
        }
    }

    /** Returns the sequence number of the last event that was seen of an engine. */
    public Optional<Long> lastSequence(EndpointId engine) {
        return Optional.ofNullable(mSequences.get(engine));
    }

    /** Forgets an engine altogether, since it restarted or left. */
    public void forget(EndpointId engine) {
        onGap(engine);
        mSequences.remove(engine);
    }

    /**
     * Returns the leading tokens of the prompt that an engine is believed to have cached. Each hash
     * covers the blocks before it, so that the longest known prefix is found by bisection.
     */
    public int cachedTokens(EndpointId engine, Prompt prompt) {
        if (prompt.prefixHashes().isEmpty() || !holds(engine, prompt.prefixHashes().get(0))) {
            return 0;
        }
        int known = 0;
        int unknown = prompt.prefixHashes().length() + 1;
        while (unknown - known > 1) {
            int middle = (known + unknown) >>> 1;
            if (holds(engine, prompt.prefixHashes().get(middle - 1))) {
                known = middle;
            } else {
                unknown = middle;
            }
        }
        return known * Prompt.BLOCK_TOKENS;
    }

    /** Returns whether any engine is believed to hold the beginning of the prompt. */
    public boolean known(Prompt prompt) {
        return !prompt.prefixHashes().isEmpty()
                && mBlocks.containsKey(prompt.prefixHashes().get(0));
    }

    private boolean holds(EndpointId engine, long hash) {
        Map<EndpointId, Integer> engines = mBlocks.get(hash);
        return engines != null && engines.getOrDefault(engine, -1).intValue() == generation(engine);
    }

    private void stored(EndpointId engine, long hash) {
        Map<EndpointId, Integer> engines =
                mBlocks.computeIfAbsent(hash, h -> new HashMap<>(MAX_ENGINES_PER_BLOCK));
        if (engines.size() == MAX_ENGINES_PER_BLOCK && !engines.containsKey(engine)) {
            engines.remove(engines.keySet().iterator().next());
        }
        engines.put(engine, generation(engine));
    }

    private void evicted(EndpointId engine, long hash) {
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
