package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import io.bilberrygrade.serving.settings.Units;
import java.io.IOException;

/** Deserializes a size with a unit to a number of bytes. */
public final class ByteSizeDeserializer extends StdScalarDeserializer<Long> {
    private static final long serialVersionUID = 1L;
    private static final String EXPECTED = "a size with a unit (B, KiB, MiB, GiB)";

    /** Creates the deserializer. */
    public ByteSizeDeserializer() {
        super(Long.class);
    }

    @Override
    public Long deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        String text = parser.getValueAsString("");
        try {
            return Units.bytes(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            return (Long) context.handleWeirdStringValue(Long.class, text, EXPECTED);
        }
    }
}
