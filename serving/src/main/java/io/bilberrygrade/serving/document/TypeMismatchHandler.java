package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.Locale;
import java.util.function.BiConsumer;

/** Reports values of the wrong type and continues as if they were absent. */
final class TypeMismatchHandler extends DeserializationProblemHandler {
    private final BiConsumer<String, String> mFaults;

    TypeMismatchHandler(BiConsumer<String, String> faults) {
        mFaults = faults;
    }

    @Override
    public Object handleWeirdStringValue(
            DeserializationContext context, Class<?> type, String value, String message) {
        report(context, "'" + value + "' is not " + expected(type, message));
        return null;
    }

    @Override
    public Object handleWeirdNumberValue(
            DeserializationContext context, Class<?> type, Number value, String message) {
        report(context, "'" + value + "' is not " + expected(type, message));
        return null;
    }

    @Override
    public Object handleUnexpectedToken(
            DeserializationContext context,
            JavaType type,
            JsonToken token,
            JsonParser parser,
            String message)
            throws IOException {
        report(context, "expected " + expected(type.getRawClass(), "another form"));
        parser.skipChildren();
        return null;
    }

    private void report(DeserializationContext context, String message) {
        mFaults.accept(context.getParser().getParsingContext().pathAsPointer().toString(), message);
    }

    private static String expected(Class<?> type, String message) {
        if (type.isEnum()) {
            return "one of "
                    + String.join(
                            ", ",
                            Arrays.stream(type.getEnumConstants())
                                    .map(c -> c.toString().toLowerCase(Locale.ROOT))
                                    .toList());
        }
        if (type == Duration.class) {
            return message;
        }
        if (type == Integer.class || type == Long.class) {
            return message.startsWith("a size") ? message : "a whole number";
        }
        return simpleForm(type);
    }

    private static String simpleForm(Class<?> type) {
        if (type == Double.class) {
            return "a number";
        }
        if (type == Boolean.class) {
            return "true or false";
        }
        if (Collection.class.isAssignableFrom(type)) {
            return "a list";
        }
        return type.isRecord() ? "a section of keys" : "a text";
    }
}
