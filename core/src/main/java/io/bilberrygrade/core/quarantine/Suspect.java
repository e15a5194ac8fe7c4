package io.bilberrygrade.core.quarantine;

import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Longs;
import io.bilberrygrade.core.forward.PromptPart;

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
    private static final int DIGEST_BYTES = 6;

    /** Returns the suspect that stands for a part of a prompt. */
    public static Suspect part(PromptPart part) {
        return new Suspect(part.id());
    }

    /** Returns the suspect that stands for a whole request with the given digest. */
    public static Suspect request(long digest) {
        return new Suspect(
                REQUEST_PREFIX
                        + BaseEncoding.base64Url()
                                .encode(Longs.toByteArray(digest), 0, DIGEST_BYTES));
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
