package io.bilberrygrade.standins.load;

import io.bilberrygrade.serving.http.PromptTokens;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates prompts of a given length; of prompts with equal seeds, one is a prefix of the other.
 */
public final class PromptText {
    private static final int LETTERS = 26;

    private PromptText() {}

    /** Returns a prompt of the given length in tokens. */
    public static String of(long seed, int tokens) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        char[] text = new char[tokens * PromptTokens.BYTES_PER_TOKEN];
        for (int i = 0; i < text.length; i++) {
            boolean space = i % PromptTokens.BYTES_PER_TOKEN == PromptTokens.BYTES_PER_TOKEN - 1;
            text[i] = space ? ' ' : (char) ('a' + random.nextInt(LETTERS));
        }
        return new String(text);
    }
}
