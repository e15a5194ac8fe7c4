package io.bilberrygrade.standins.load.pattern;

/** Times of arrival of strict requests, relative to the swings of their demand. */
enum LateWindow {
    SWING_TO_SHORT("first 3 s after a swing to short prompts", true, true),
    SHORT("later in a phase of short prompts", true, false),
    SWING_TO_LONG("first 3 s after a swing to long prompts", false, true),
    LONG("later in a phase of long prompts", false, false);

    private static final double SWING_MILLIS = 3_000;

    private final String mTitle;
    private final boolean mShort;
    private final boolean mAtSwing;

    LateWindow(String title, boolean isShort, boolean atSwing) {
        mTitle = title;
        mShort = isShort;
        mAtSwing = atSwing;
    }

    String title() {
        return mTitle;
    }

    boolean contains(LoadPattern pattern, PatternRequest request) {
        double at = request.arrivedAt();
        return mShort == (pattern.factorAt(request.requestClass().name(), at) > 1)
                && mAtSwing == (pattern.sincePhaseMillis(at) < SWING_MILLIS);
    }
}
