package io.bilberrygrade.serving.settings;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses quantities with a unit, such as {@code 1500ms} and {@code 16MiB}. */
public final class Units {
    private static final Pattern QUANTITY = Pattern.compile("(\\d+)\\s*([a-zA-Z]+)");
    private static final ImmutableMap<String, Long> NANOS =
            ImmutableMap.of(
                    "us", 1_000L,
                    "ms", 1_000_000L,
                    "s", 1_000_000_000L,
                    "min", 60_000_000_000L,
                    "h", 3_600_000_000_000L);
    private static final ImmutableMap<String, Long> BYTES =
            ImmutableMap.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private Units() {}

    /** Parses a duration in us, ms, s, min or h; throws {@link IllegalArgumentException}. */
    public static Duration duration(String text) {
        return Duration.ofNanos(read(text, NANOS, "a duration such as 1500ms"));
    }

    /** Parses a size in B, KiB, MiB or GiB; throws {@link IllegalArgumentException}. */
    public static long bytes(String text) {
        return read(text, BYTES, "a size such as 16MiB");
    }

    private static long read(String text, ImmutableMap<String, Long> factors, String expected) {
        Matcher matcher = QUANTITY.matcher(text.trim());
        if (!matcher.matches() || !factors.containsKey(matcher.group(2))) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not " + expected + "; units: " + factors.keySet());
        }
        return Math.multiplyExact(Long.parseLong(matcher.group(1)), factors.get(matcher.group(2)));
    }
}
