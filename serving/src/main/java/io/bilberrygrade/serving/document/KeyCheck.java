package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Checks the keys of a parsed document against a record type and adds defaults. */
final class KeyCheck {
    private static final String EMPTY_SECTION = "{}";
    private static final ClassValue<ImmutableMap<String, RecordComponent>> COMPONENTS =
            new ClassValue<>() {
                @Override
                protected ImmutableMap<String, RecordComponent> computeValue(Class<?> type) {
                    return Arrays.stream(type.getRecordComponents())
                            .collect(
                                    ImmutableMap.toImmutableMap(
                                            c -> Pointers.name(c.getName()), c -> c));
                }
            };

    private final BiConsumer<String, String> mFaults;

    KeyCheck(BiConsumer<String, String> faults) {
        mFaults = faults;
    }

    /**
     * Reports unknown and missing keys below a pointer and sets absent keys that have a default.
     */
    void check(ObjectNode node, Class<?> type, String pointer) {
        ImmutableMap<String, RecordComponent> known = COMPONENTS.get(type);
        for (String name : List.copyOf(fieldNames(node))) {
            if (!known.containsKey(name)) {
                mFaults.accept(
                        pointer + "/" + name,
                        "unknown key; the keys here are " + String.join(", ", known.keySet()));
            }
        }
        known.forEach((name, component) -> check(node, name, component, pointer + "/" + name));
    }

    private void check(ObjectNode node, String name, RecordComponent component, String pointer) {
        KeyInfo info = component.getAnnotation(KeyInfo.class);
        if (!node.hasNonNull(name)) {
            fill(node, name, info, pointer);
        }
        Optional<Class<?>> element = recordElement(component);
        JsonNode value = node.path(name);
        if (component.getType().isRecord()) {
            checkSection(value, component.getType(), pointer);
        } else if (element.isPresent() && value instanceof ArrayNode array) {
            for (int i = 0; i < array.size(); i++) {
                checkSection(array.get(i), element.get(), pointer + "/" + i);
            }
        }
    }

    private void checkSection(JsonNode value, Class<?> type, String pointer) {
        if (value instanceof ObjectNode section) {
            check(section, type, pointer);
        }
    }

    private void fill(ObjectNode node, String name, KeyInfo info, String pointer) {
        if (info.defaultValue().equals(EMPTY_SECTION)) {
            node.putObject(name);
        } else if (!info.defaultValue().isEmpty()) {
            node.put(name, info.defaultValue());
        } else if (!info.optional()) {
            mFaults.accept(pointer, "the key is missing");
        }
    }

    /** Returns the record type of a list's elements. */
    static Optional<Class<?>> recordElement(RecordComponent component) {
        return component.getGenericType() instanceof ParameterizedType p
                        && p.getActualTypeArguments()[0] instanceof Class<?> element
                        && element.isRecord()
                ? Optional.of(element)
                : Optional.empty();
    }

    private static List<String> fieldNames(ObjectNode node) {
        return node.properties().stream().map(java.util.Map.Entry::getKey).toList();
    }
}
