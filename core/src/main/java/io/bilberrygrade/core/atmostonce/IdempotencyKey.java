package io.bilberrygrade.core.atmostonce;

import com.google.common.base.Splitter;
import com.google.common.io.BaseEncoding;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Idempotency key that names the run of a daemon that issued it, its home, so that every daemon can
 * identify the only run that may execute the call. {@code mac} is in lower-case hexadecimal.
 */
public record IdempotencyKey(
        InstanceId home, Incarnation incarnation, Instant issued, long serial, String mac) {
    /** Maximum length of the text form in characters. */
    public static final int MAX_LENGTH_CHARS = 512;

    private static final String PREFIX = "bg1";
    private static final int FIELDS = 6;
    private static final int RADIX = 36;
    private static final BaseEncoding BASE64_URL = BaseEncoding.base64Url().omitPadding();

    /** Parses the text form; empty when the text is no such key. */
    public static Optional<IdempotencyKey> parse(String text) {
        if (text.length() > MAX_LENGTH_CHARS) {
            return Optional.empty();
        }
        List<String> fields = Splitter.on('.').splitToList(text);
        if (fields.size() != FIELDS || !fields.get(0).equals(PREFIX)) {
            return Optional.empty();
        }
        try {
            byte[] home = BASE64_URL.decode(fields.get(1));
            return Optional.of(
                    new IdempotencyKey(
                            new InstanceId(new String(home, StandardCharsets.UTF_8)),
                            new Incarnation(Long.parseLong(fields.get(2), RADIX)),
                            Instant.ofEpochMilli(Long.parseLong(fields.get(3), RADIX)),
                            Long.parseLong(fields.get(4), RADIX),
                            fields.get(5)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the text form. */
    public String text() {
        return signedText() + "." + mac;
    }

    /** Returns the part of the text form that {@code mac} authenticates. */
    String signedText() {
        return String.join(
                ".",
                PREFIX,
                BASE64_URL.encode(home.value().getBytes(StandardCharsets.UTF_8)),
                Long.toString(incarnation.value(), RADIX),
                Long.toString(issued.toEpochMilli(), RADIX),
                Long.toString(serial, RADIX));
    }
}
