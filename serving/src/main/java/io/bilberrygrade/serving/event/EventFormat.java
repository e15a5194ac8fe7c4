package io.bilberrygrade.serving.event;

import com.google.common.base.CaseFormat;
import com.google.common.collect.ImmutableMap;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Writes events as one line of text: the number, the name and the fields. */
public final class EventFormat {
    private EventFormat() {}

    /** Returns the line of an event, such as {@code BG2001 in-force version=4 source=...}. */
    public static String describe(Event event) {
        String fields =
                fields(event).entrySet().stream()
                        .map(f -> " " + f.getKey() + "=" + f.getValue())
                        .collect(Collectors.joining());
        return number(event) + " " + name(event.getClass()) + fields;
    }

    /** Returns the number and level of an event type. */
    public static EventInfo info(Class<? extends Event> type) {
        return type.getAnnotation(EventInfo.class);
    }

    /** Returns an event's number, such as {@code BG2001}. */
    public static String number(Event event) {
        return number(event.getClass());
    }

    /** Returns the number of an event type, such as {@code BG2001}. */
    public static String number(Class<? extends Event> type) {
        return "BG" + info(type).number();
    }

    /** Returns the name of an event type, such as {@code in-force}. */
    public static String name(Class<? extends Event> type) {
        return CaseFormat.UPPER_CAMEL.to(CaseFormat.LOWER_HYPHEN, type.getSimpleName());
    }

    /** Returns the fields of an event in their order. */
    public static ImmutableMap<String, String> fields(Event event) {
        return Arrays.stream(event.getClass().getRecordComponents())
                .collect(
                        ImmutableMap.toImmutableMap(
                                RecordComponent::getName, c -> value(event, c)));
    }

    private static String value(Event event, RecordComponent component) {
        try {
            return String.valueOf(component.getAccessor().invoke(event));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
