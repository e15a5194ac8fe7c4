package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.lang.annotation.Annotation;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hibernate.validator.constraints.time.DurationMax;
import org.hibernate.validator.constraints.time.DurationMin;

/** Generates a Markdown table of all keys of a document type from its annotations. */
public final class KeyReference {
    private KeyReference() {}

    /** Returns the table with the columns key, form with unit, default, bounds and meaning. */
    public static String table(Class<?> type) {
        return "| key | form | default | bounds | meaning |\n|---|---|---|---|---|\n"
                + rows(type, "").stream().map(r -> r + "\n").collect(Collectors.joining());
    }

    private static ImmutableList<String> rows(Class<?> type, String prefix) {
        ImmutableList.Builder<String> rows = ImmutableList.builder();
        for (RecordComponent component : type.getRecordComponents()) {
            String key = prefix + Pointers.name(component.getName());
            Optional<Class<?>> element = KeyCheck.recordElement(component);
            if (component.getType().isRecord()) {
                rows.addAll(rows(component.getType(), key + "."));
            } else if (element.isPresent()) {
                rows.add(row(type, component, key));
                rows.addAll(rows(element.get(), key + "[]."));
            } else {
                rows.add(row(type, component, key));
            }
        }
        return rows.build();
    }

    private static String row(Class<?> type, RecordComponent component, String key) {
        KeyInfo info = component.getAnnotation(KeyInfo.class);
        return Joiner.on(" | ")
                .join(
                        "| `" + key + "`",
                        form(component),
                        defaultText(info),
                        bounds(type, component))
                .concat(" | " + info.value() + " |");
    }

    private static String defaultText(KeyInfo info) {
        if (!info.defaultValue().isEmpty()) {
            return "`" + info.defaultValue() + "`";
        }
        return info.optional() ? "none" : "required";
    }

    private static String form(RecordComponent component) {
        Class<?> type = component.getType();
        if (component.getAccessor().isAnnotationPresent(JsonDeserialize.class)) {
            return "size (B, KiB, MiB, GiB)";
        }
        if (type == Duration.class) {
            return "duration (us, ms, s, min, h)";
        }
        if (List.class.isAssignableFrom(type)) {
            return "list";
        }
        return type.isEnum() ? choices(type) : scalar(type);
    }

    private static String scalar(Class<?> type) {
        if (type == Integer.class || type == Long.class) {
            return "whole number";
        }
        if (type == Double.class) {
            return "number";
        }
        return type == Boolean.class ? "`true` or `false`" : "text";
    }

    private static String choices(Class<?> type) {
        return Arrays.stream(type.getEnumConstants())
                .map(c -> "`" + c.toString().toLowerCase(Locale.ROOT) + "`")
                .collect(Collectors.joining(", "));
    }

    private static String bounds(Class<?> type, RecordComponent component) {
        String bounds =
                Arrays.stream(annotations(type, component))
                        .map(KeyReference::bound)
                        .filter(b -> !b.isEmpty())
                        .collect(Collectors.joining(", "));
        return bounds.isEmpty() ? "-" : bounds;
    }

    private static Annotation[] annotations(Class<?> type, RecordComponent component) {
        try {
            return type.getDeclaredField(component.getName()).getAnnotations();
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String bound(Annotation annotation) {
        return switch (annotation) {
            case Min m -> "at least " + m.value();
            case Max m -> "at most " + m.value();
            case DecimalMin m -> (m.inclusive() ? "at least " : "over ") + m.value();
            case DecimalMax m -> "at most " + m.value();
            case DurationMin m -> "at least " + duration(m.minutes(), m.seconds(), m.millis());
            case DurationMax m -> "at most " + duration(m.minutes(), m.seconds(), m.millis());
            case Size s -> size(s);
            case Pattern p -> p.message();
            default -> "";
        };
    }

    private static String size(Size size) {
        String most = size.max() == Integer.MAX_VALUE ? "" : ", at most " + size.max();
        return "length at least " + size.min() + most;
    }

    private static String duration(long minutes, long seconds, long millis) {
        if (minutes > 0) {
            return minutes + "min";
        }
        return seconds > 0 ? seconds + "s" : millis + "ms";
    }
}
