package io.bilberrygrade.core.routing;

/** Mixes 64-bit values for rendezvous hashing, the same on every daemon and in every run. */
public final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /** Returns a hash of a text. */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash, 0);
    }

    /** Returns a hash of two values, by the finalizer of MurmurHash3. */
    public static long mix(long a, long b) {
        long h = a ^ Long.rotateLeft(b * 0x9e3779b97f4a7c15L, 32);
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
