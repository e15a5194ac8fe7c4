package io.bilberrygrade.serving.document;

import com.google.common.base.CaseFormat;
import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import jakarta.validation.Path;

/** Converts between JSON pointers, displayed keys, constraint paths and record components. */
final class Pointers {
    private Pointers() {}

    /** Returns the displayed form of a pointer, such as {@code endpoints[2].address}. */
    static String key(String pointer) {
        StringBuilder key = new StringBuilder();
        for (String part : Splitter.on('/').omitEmptyStrings().split(pointer)) {
            if (Ints.tryParse(part) != null) {
                key.append('[').append(part).append(']');
            } else {
                key.append(key.isEmpty() ? "" : ".").append(part);
            }
        }
        return key.toString();
    }

    /** Returns the pointer of a constraint violation's path. */
    static String of(Path path) {
        StringBuilder pointer = new StringBuilder();
        for (Path.Node node : path) {
            if (node.getIndex() != null) {
                pointer.append('/').append(node.getIndex());
            }
            if (node.getName() != null && !node.getName().startsWith("<")) {
                pointer.append('/').append(name(node.getName()));
            }
        }
        return pointer.toString();
    }

    /** Returns the key of a record component. */
    static String name(String component) {
        return CaseFormat.LOWER_CAMEL.to(CaseFormat.LOWER_UNDERSCORE, component);
    }
}
