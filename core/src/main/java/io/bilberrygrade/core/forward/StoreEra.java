package io.bilberrygrade.core.forward;

import java.util.OptionalLong;

/**
 * Tells answers of the store's present era from those of an era that has ended. An answer may be
 * late, or come from a peer that hasn't noticed yet that the store came back from an older copy; it
 * says nothing about what the store holds now.
 */
public final class StoreEra {
    private OptionalLong mPresent = OptionalLong.empty();

    /** Takes note of the era that an answer names. */
    public Verdict judge(long era) {
        if (mPresent.isPresent() && era < mPresent.getAsLong()) {
            return Verdict.ENDED;
        }
        Verdict verdict =
                mPresent.isPresent() && era > mPresent.getAsLong()
                        ? Verdict.BEGUN
                        : Verdict.PRESENT;
        mPresent = OptionalLong.of(era);
        return verdict;
    }

    /** Returns the present era; 0 before the first answer. */
    public long present() {
        return mPresent.orElse(0);
    }

    /** What an answer's era means. */
    public enum Verdict {
        /** The era that was known, or the first one that is seen. */
        PRESENT,
        /** A later era: the store may have lost what it had acknowledged before. */
        BEGUN,
        /** An earlier era, whose answers count no more. */
        ENDED
    }
}
