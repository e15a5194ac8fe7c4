package io.bilberrygrade.standins;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations on the command line. */
final class Durations {
    private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s)?");

    private Durations() {}

    /** Parses {@code 20ms}, {@code 2s} or a bare number of milliseconds. */
    static Duration parse(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not a duration: " + text);
        }
        long number = Long.parseLong(matcher.group(1));
        return "s".equals(matcher.group(2))
                ? Duration.ofSeconds(number)
                : Duration.ofMillis(number);
    }
}
