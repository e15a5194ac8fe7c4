package io.bilberrygrade.serving.event;

import com.google.common.base.CaseFormat;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Writes events as one line of text: the number, the name and the fields. */
public final class EventFormat {
    private EventFormat() {}

    /** Returns the line of an event, such as {@code BG2001 in-force version=4 source=...}. */
    public static String describe(Event event) {
        String fields =
                Arrays.stream(event.getClass().getRecordComponents())
                        .map(c -> " " + c.getName() + "=" + value(event, c))
                        .collect(Collectors.joining());
        return String.format("BG%04d %s%s", info(event.getClass()).number(), name(event), fields);
    }

    /** Returns the number and level of an event type. */
    public static EventInfo info(Class<? extends Event> type) {
        return type.getAnnotation(EventInfo.class);
    }

    private static String name(Event event) {
        return CaseFormat.UPPER_CAMEL.to(CaseFormat.LOWER_HYPHEN, event.getClass().getSimpleName());
    }

    private static Object value(Event event, RecordComponent component) {
        try {
            return component.getAccessor().invoke(event);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
