package io.bilberrygrade.standins.load.measure;

import io.bilberrygrade.serving.http.PromptTokens;
import io.bilberrygrade.standins.load.PromptText;

/** Assembles prompts from texts generated once, so that senders spend little time on them. */
final class PromptPool {
    private static final int MAX_TOKENS = 1_000_000;
    private static final int TEXT_OFFSETS = 1 << 20;
    private static final long PREFIX_SEED = 1_000;
    private static final long TEXT_SEED = 1;
    private static final String MARKER_FORMAT = "%016x";

    private final String mText = PromptText.of(TEXT_SEED, MAX_TOKENS + TEXT_OFFSETS / 4);
    private final String[] mPrefixes = new String[Workload.PREFIXES];

    PromptPool() {
        for (int i = 0; i < mPrefixes.length; i++) {
            mPrefixes[i] = PromptText.of(PREFIX_SEED + i, Workload.MAX_PREFIX_TOKENS);
        }
    }

    /** Returns the prompt of an arrival: its prefix, a unique marker and text from its offset. */
    String prompt(Arrival arrival) {
        int length = arrival.tokens() * PromptTokens.BYTES_PER_TOKEN;
        String prefix =
                mPrefixes[arrival.prefix()].substring(
                        0, arrival.prefixTokens() * PromptTokens.BYTES_PER_TOKEN);
        String marker = MARKER_FORMAT.formatted(arrival.index());
        int rest = length - prefix.length() - marker.length();
        int from = arrival.textOffset();
        return prefix + marker + mText.substring(from, from + rest);
    }
}
