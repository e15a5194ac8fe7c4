package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.errorprone.annotations.Immutable;
import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/** Immutable byte sequence, serialized as one binary value. */
@Immutable
public final class Bytes {
    @SuppressWarnings("Immutable")
    private final byte[] mBytes;

    private Bytes(byte[] bytes) {
        mBytes = bytes;
    }

    /** Creates a copy of the given bytes. */
    @JsonCreator
    public static Bytes of(byte[] bytes) {
        return new Bytes(bytes.clone());
    }

    /** Creates a copy of a buffer's bytes. */
    public static Bytes of(Buffer buffer) {
        return new Bytes(buffer.getBytes());
    }

    /** Returns a copy of the bytes. */
    @JsonValue
    public byte[] toArray() {
        return mBytes.clone();
    }

    /** Returns a copy of the bytes as a buffer. */
    public Buffer toBuffer() {
        return Buffer.buffer(mBytes.clone());
    }

    /** Returns the number of bytes. */
    public int length() {
        return mBytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes b && Arrays.equals(mBytes, b.mBytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mBytes);
    }

    @Override
    public String toString() {
        return mBytes.length + " bytes";
    }
}
