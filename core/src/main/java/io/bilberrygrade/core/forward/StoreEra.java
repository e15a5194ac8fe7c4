package io.bilberrygrade.core.forward;

import java.util.OptionalLong;

/**
 * Distinguishes answers of the store's current era from those of an earlier one. An answer may be
 * delayed, or come from a peer that hasn't yet detected that the store was restored from an older
 * copy; it then doesn't describe the current content of the store.
 */
public final class StoreEra {
    private OptionalLong mCurrent = OptionalLong.empty();

    /** Records the era of an answer and classifies the answer. */
    public Verdict judge(long era) {
        if (mCurrent.isPresent() && era < mCurrent.getAsLong()) {
            return Verdict.ENDED;
        }
        Verdict verdict =
                mCurrent.isPresent() && era > mCurrent.getAsLong()
                        ? Verdict.BEGUN
                        : Verdict.PRESENT;
        mCurrent = OptionalLong.of(era);
        return verdict;
    }

    /** Returns the current era; 0 before the first answer. */
    public long current() {
        return mCurrent.orElse(0);
    }

    /** Relation of an answer's era to the current one. */
    public enum Verdict {
        /** The current era, or the first one observed. */
        PRESENT,
        /** A later era: the store may have lost writes that it had acknowledged. */
        BEGUN,
        /** An earlier era, whose answers are ignored. */
        ENDED
    }
}
