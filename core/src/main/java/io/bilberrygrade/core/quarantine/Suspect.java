package io.bilberrygrade.core.quarantine;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Longs;
import io.bilberrygrade.core.forward.PromptPart;
import java.nio.charset.StandardCharsets;

/**
 * Something that requests have in common and by which they may crash endpoints: a part of their
 * prompts, or that they are the same request, sent again.
 *
 * @param id identifies the part's content, or that of the whole request
 */
public record Suspect(String id) implements Comparable<Suspect> {
    /** Ids of parts hold no colon. */
    private static final String REQUEST_PREFIX = ":";

    /** Bytes of a digest that are kept; a few requests are told from some millions. */
    public static final int DIGEST_BYTES = 6;

    /** Longest id of a part, in characters, that stands for itself. */
    private static final int MAX_PART_ID_CHARS = 16;

    /** Precedes the fingerprint of a longer id; ids of parts hold no such character. */
    private static final String FINGERPRINT_PREFIX = "#";

    /** Returns the suspect that stands for a part of a prompt. */
    public static Suspect part(PromptPart part) {
        return part.id().length() <= MAX_PART_ID_CHARS
                ? new Suspect(part.id())
                : new Suspect(FINGERPRINT_PREFIX + text(fingerprint(part.id()), 0));
    }

    private static byte[] fingerprint(String id) {
        return Hashing.farmHashFingerprint64().hashString(id, StandardCharsets.UTF_8).asBytes();
    }

    /** Returns the suspect that stands for a whole request with the given digest. */
    public static Suspect request(long digest) {
        return request(Longs.toByteArray(digest), 0);
    }

    /** Returns the suspect for the {@link #DIGEST_BYTES} bytes of a digest at an offset. */
    public static Suspect request(byte[] bytes, int offset) {
        return new Suspect(REQUEST_PREFIX + text(bytes, offset));
    }

    private static String text(byte[] bytes, int offset) {
        return BaseEncoding.base64Url().encode(bytes, offset, DIGEST_BYTES);
    }

    /** Returns the bytes of a request's digest. */
    public byte[] digest() {
        return BaseEncoding.base64Url().decode(id.substring(REQUEST_PREFIX.length()));
    }

    /** Returns whether it stands for a whole request. */
    public boolean isRequest() {
        return id.startsWith(REQUEST_PREFIX);
    }

    @Override
    public int compareTo(Suspect other) {
        return id.compareTo(other.id);
    }

    @Override
    public String toString() {
        return id;
    }
}
