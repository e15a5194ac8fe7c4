package io.bilberrygrade.core.request;

/** Bands of prompt length, by which times to first token are reported. */
public enum LengthBand {
    UP_TO_4K("up-to-4k", 4_096),
    UP_TO_32K("up-to-32k", 32_768),
    UP_TO_100K("up-to-100k", 100_000),
    UP_TO_400K("up-to-400k", 400_000),
    OVER_400K("over-400k", Integer.MAX_VALUE);

    private final String mLabel;
    private final int mMaxTokens;

    LengthBand(String label, int maxTokens) {
        mLabel = label;
        mMaxTokens = maxTokens;
    }

    /** Returns the band of a prompt's length in tokens. */
    public static LengthBand of(int tokens) {
        for (LengthBand band : values()) {
            if (tokens <= band.mMaxTokens) {
                return band;
            }
        }
        return OVER_400K;
    }

    /** Returns whether prompts of the band count as short, whose slowdown is measured. */
    public boolean isShort() {
        return this == UP_TO_4K;
    }

    /** Returns whether prompts of the band count as long, which may slow short ones down. */
    public boolean isLong() {
        return this == UP_TO_400K || this == OVER_400K;
    }

    /** Returns the maximum prompt length of the band in tokens. */
    public int maxTokens() {
        return mMaxTokens;
    }

    /** Returns the name of the band in metrics and reports. */
    public String label() {
        return mLabel;
    }
}
