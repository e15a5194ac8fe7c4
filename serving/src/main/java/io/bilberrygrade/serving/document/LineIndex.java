package io.bilberrygrade.serving.document;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Line numbers of a YAML document by JSON pointer, since a parsed tree doesn't keep them. */
final class LineIndex {
    private static final YAMLFactory FACTORY = new YAMLFactory();

    private final ImmutableMap<String, Integer> mLines;

    private LineIndex(ImmutableMap<String, Integer> lines) {
        mLines = lines;
    }

    /** Builds the index in one pass; throws on a syntax error. */
    static LineIndex of(byte[] bytes) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            while (parser.nextToken() != null) {
                lines.putIfAbsent(
                        parser.getParsingContext().pathAsPointer().toString(),
                        parser.currentTokenLocation().getLineNr());
            }
        }
        return new LineIndex(ImmutableMap.copyOf(lines));
    }

    /** Returns the line of a pointer or, if its key is absent, of its nearest ancestor. */
    int line(String pointer) {
        Integer line = mLines.get(pointer);
        int slash = pointer.lastIndexOf('/');
        if (line != null) {
            return line;
        }
        return slash < 0 ? 1 : line(pointer.substring(0, slash));
    }
}
