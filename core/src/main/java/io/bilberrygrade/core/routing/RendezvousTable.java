package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import java.util.Arrays;

/**
 * Engines that rendezvous hashing prefers for a key, so that all daemons send a prefix to the same
 * few engines and a change of the engines moves few keys. Keys are mapped to slots, each computed
 * at its first use, so that the cost of a decision doesn't grow with the number of engines. Not
 * thread-safe.
 */
public final class RendezvousTable {
    /** Number of preferred engines for each key. */
    public static final int PREFERRED = 2;

    private static final int SLOTS = 4_096;

    private final ImmutableList<Endpoint> mEngines;
    private final long[] mHashes;
    private final int[][] mSlots = new int[SLOTS][];

    /** Creates the table of the given engines. */
    public RendezvousTable(ImmutableList<Endpoint> engines) {
        mEngines = engines;
        mHashes = engines.stream().mapToLong(e -> StableHash.hash(e.id().value())).toArray();
    }

    /** Returns the positions of the preferred engines among the table's engines, best first. */
    public int[] preferred(long key) {
        int slot = (int) Math.floorMod(key, (long) SLOTS);
        if (mSlots[slot] == null) {
            mSlots[slot] = best(slot);
        }
        return mSlots[slot].clone();
    }

    private int[] best(int slot) {
        int[] best = new int[Math.min(PREFERRED, mEngines.size())];
        Arrays.fill(best, -1);
        for (int i = 0; i < mHashes.length; i++) {
            insert(best, i, slot);
        }
        return best;
    }

    private void insert(int[] best, int candidate, int slot) {
        int inserted = candidate;
        for (int i = 0; i < best.length; i++) {
            if (best[i] < 0 || score(inserted, slot) > score(best[i], slot)) {
                int displaced = best[i];
                best[i] = inserted;
                inserted = displaced;
            }
            if (inserted < 0) {
                return;
            }
        }
    }

    private long score(int engine, int slot) {
        return StableHash.mix(mHashes[engine], slot);
    }
}
