package io.bilberrygrade.serving.http;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.request.Prompt;
import io.vertx.core.buffer.Buffer;

/**
 * Estimates a prompt's tokens from its length in bytes and hashes its leading blocks. The estimate
 * needs no tokenizer; engines count tokens exactly.
 */
public final class PromptTokens {
    /** Bytes of prompt text that are counted as one token. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int BLOCK_BYTES = Prompt.BLOCK_TOKENS * BYTES_PER_TOKEN;
    private static final int MAX_HASHED_BLOCKS = 128;
    private static final HashFunction HASH = Hashing.murmur3_128();

    private PromptTokens() {}

    /** Returns the estimated tokens of a prompt of the given length. */
    public static int count(int bytes) {
        return Math.max(1, (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    }

    /**
     * Returns the hashes of the leading complete blocks; each hash also covers all blocks before
     * its own.
     */
    public static ImmutableLongArray prefixHashes(Buffer body, int start, int end) {
        int blocks = Math.min((end - start) / BLOCK_BYTES, MAX_HASHED_BLOCKS);
        ImmutableLongArray.Builder hashes = ImmutableLongArray.builder(blocks);
        long chained = 0;
        for (int i = 0; i < blocks; i++) {
            int from = start + i * BLOCK_BYTES;
            chained =
                    HASH.newHasher()
                            .putLong(chained)
                            .putBytes(body.getBytes(from, from + BLOCK_BYTES))
                            .hash()
                            .asLong();
            hashes.add(chained);
        }
        return hashes.build();
    }
}
