package io.bilberrygrade.core.request;

import com.google.common.primitives.ImmutableLongArray;

/**
 * Shape of a prompt: its length in tokens, the most tokens of the answer, and the chained hashes of
 * its leading blocks, by which engines that hold a cached prefix are recognised.
 */
public record Prompt(int tokens, int maxAnswerTokens, ImmutableLongArray prefixHashes) {
    /** Tokens of one hashed block. */
    public static final int BLOCK_TOKENS = 1024;

    /** Returns the tokens of KV memory that the request occupies at its end. */
    public long memoryTokens() {
        return (long) tokens + maxAnswerTokens;
    }
}
