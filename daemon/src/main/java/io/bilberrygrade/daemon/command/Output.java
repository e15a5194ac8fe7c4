package io.bilberrygrade.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Strings;
import io.bilberrygrade.serving.json.Mappers;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Formats the output of commands. */
final class Output {
    private static final String COLUMN_GAP = "  ";

    private Output() {}

    /** Returns a value as indented JSON. */
    static String json(Object value) {
        try {
            return Mappers.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns rows as a table whose first row is the heading. */
    static String table(List<List<String>> rows) {
        int[] widths =
                IntStream.range(0, rows.get(0).size())
                        .map(i -> rows.stream().mapToInt(r -> r.get(i).length()).max().orElse(0))
                        .toArray();
        return rows.stream().map(r -> row(r, widths)).collect(Collectors.joining("\n")) + "\n";
    }

    private static String row(List<String> cells, int[] widths) {
        return IntStream.range(0, cells.size())
                .mapToObj(i -> Strings.padEnd(cells.get(i), widths[i], ' '))
                .collect(Collectors.joining(COLUMN_GAP))
                .stripTrailing();
    }
}
