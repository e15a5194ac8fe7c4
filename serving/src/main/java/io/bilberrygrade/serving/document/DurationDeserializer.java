package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import io.bilberrygrade.serving.settings.Units;
import java.io.IOException;
import java.time.Duration;

/** Deserializes a duration with a unit. */
final class DurationDeserializer extends StdScalarDeserializer<Duration> {
    private static final long serialVersionUID = 1L;
    private static final String EXPECTED = "a duration with a unit (us, ms, s, min, h)";

    DurationDeserializer() {
        super(Duration.class);
    }

    @Override
    public Duration deserialize(JsonParser parser, DeserializationContext context)
            throws IOException {
        String text = parser.getValueAsString("");
        try {
            return Units.duration(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            return (Duration) context.handleWeirdStringValue(Duration.class, text, EXPECTED);
        }
    }
}
