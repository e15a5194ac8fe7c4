package io.bilberrygrade.serving.event;

import com.google.common.base.CaseFormat;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.lang.reflect.RecordComponent;

/** Formats events as one line of text: the number, the name and the fields. */
public final class EventFormat {
    private EventFormat() {}

    /** Cached layout of each event type; its reflection costs more than the rest of formatting. */
    private static final ClassValue<Layout> LAYOUTS =
            new ClassValue<>() {
                @Override
                protected Layout computeValue(Class<?> type) {
                    return Layout.of(type.asSubclass(Event.class));
                }
            };

    /** Returns the line of an event, such as {@code BG2001 in-force version=4 source=...}. */
    public static String describe(Event event) {
        Layout layout = LAYOUTS.get(event.getClass());
        StringBuilder line = new StringBuilder(layout.number()).append(' ').append(layout.name());
        for (RecordComponent c : layout.components()) {
            line.append(' ').append(c.getName()).append('=').append(value(event, c));
        }
        return line.toString();
    }

    /** Returns the number and level of an event type. */
    public static EventInfo info(Class<? extends Event> type) {
        return LAYOUTS.get(type).info();
    }

    /** Returns an event's number, such as {@code BG2001}. */
    public static String number(Event event) {
        return number(event.getClass());
    }

    /** Returns the number of an event type, such as {@code BG2001}. */
    public static String number(Class<? extends Event> type) {
        return LAYOUTS.get(type).number();
    }

    /** Returns the name of an event type, such as {@code in-force}. */
    public static String name(Class<? extends Event> type) {
        return LAYOUTS.get(type).name();
    }

    /** Returns the fields of an event in their order. */
    public static ImmutableMap<String, String> fields(Event event) {
        return LAYOUTS.get(event.getClass()).components().stream()
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

    private record Layout(
            EventInfo info, String number, String name, ImmutableList<RecordComponent> components) {
        static Layout of(Class<? extends Event> type) {
            EventInfo info = type.getAnnotation(EventInfo.class);
            RecordComponent[] components = type.getRecordComponents();
            return new Layout(
                    info,
                    "BG" + info.number(),
                    CaseFormat.UPPER_CAMEL.to(CaseFormat.LOWER_HYPHEN, type.getSimpleName()),
                    ImmutableList.copyOf(components));
        }
    }
}
