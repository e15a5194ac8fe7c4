package io.bilberrygrade.standins.load.measure;

import java.util.Arrays;

/** Bands of prompt lengths by which times to first token are reported. */
enum LengthBand {
    UP_TO_4K("<=4k", 4_096),
    UP_TO_32K("<=32k", 32_768),
    UP_TO_100K("<=100k", 100_000),
    UP_TO_400K("<=400k", 400_000),
    OVER_400K(">400k", Integer.MAX_VALUE);

    private final String mLabel;
    private final int mMaxTokens;

    LengthBand(String label, int maxTokens) {
        mLabel = label;
        mMaxTokens = maxTokens;
    }

    String label() {
        return mLabel;
    }

    int maxTokens() {
        return mMaxTokens;
    }

    /** Returns the band of a prompt's length. */
    static LengthBand of(int tokens) {
        return Arrays.stream(values())
                .filter(b -> tokens <= b.mMaxTokens)
                .findFirst()
                .orElseThrow();
    }
}
