package io.bilberrygrade.core.request;

import com.google.common.primitives.ImmutableLongArray;

/**
 * Size of a prompt: its length in tokens, the maximum number of answer tokens, and the chained
 * hashes of its leading blocks, which identify engines that hold a cached prefix.
 */
public record Prompt(int tokens, int maxAnswerTokens, ImmutableLongArray prefixHashes) {
    /** Number of tokens in one hashed block. */
    public static final int BLOCK_TOKENS = 1024;

    /** Returns the KV memory, in tokens, that the request occupies at its end. */
    public long memoryTokens() {
        return (long) tokens + maxAnswerTokens;
    }
}
