package io.bilberrygrade.serving.settings;

import com.google.common.primitives.ImmutableIntArray;
import com.google.errorprone.annotations.Immutable;

/** Key shared by the daemons of a deployment; its text form never contains the key. */
@Immutable
public final class PeerKey {
    private final ImmutableIntArray mBytes;

    private PeerKey(ImmutableIntArray bytes) {
        mBytes = bytes;
    }

    /** Creates a key from its bytes. */
    public static PeerKey of(byte[] bytes) {
        ImmutableIntArray.Builder builder = ImmutableIntArray.builder(bytes.length);
        for (byte b : bytes) {
            builder.add(b);
        }
        return new PeerKey(builder.build());
    }

    /** Returns a copy of the key's bytes. */
    public byte[] bytes() {
        byte[] copy = new byte[mBytes.length()];
        for (int i = 0; i < copy.length; i++) {
            copy[i] = (byte) mBytes.get(i);
        }
        return copy;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PeerKey key && mBytes.equals(key.mBytes);
    }

    @Override
    public int hashCode() {
        return mBytes.hashCode();
    }

    @Override
    public String toString() {
        return "PeerKey(" + mBytes.length() + " bytes)";
    }
}
