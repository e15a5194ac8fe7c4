package io.bilberrygrade.serving.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that the catalogue of events matches the code. */
final class EventCatalogueTest {
    private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");
    private static final Pattern HEADING = Pattern.compile("(?m)^## (BG\\d{4} [a-z-]+)$");

    static List<Class<? extends Event>> events() {
        return leaves(Event.class).toList();
    }

    private static Stream<Class<? extends Event>> leaves(Class<?> type) {
        return type.isSealed()
                ? Arrays.stream(type.getPermittedSubclasses()).flatMap(EventCatalogueTest::leaves)
                : Stream.of(type.asSubclass(Event.class));
    }

    @Test
    void numbersAreUniqueAndInOrderOnThePage() throws IOException {
        List<String> headings =
                HEADING.matcher(Files.readString(PAGE)).results().map(r -> r.group(1)).toList();

        assertThat(events().stream().map(EventFormat::number)).doesNotHaveDuplicates();
        assertThat(headings)
                .isSorted()
                .containsExactlyInAnyOrderElementsOf(
                        events().stream().map(EventCatalogueTest::title).toList());
    }

    @ParameterizedTest
    @MethodSource("events")
    void sectionStatesLevelAndFields(Class<? extends Event> event) throws IOException {
        EventInfo info = EventFormat.info(event);
        String level = info.level() + (info.audited() ? ", audited" : "");
        String fields =
                Arrays.stream(event.getRecordComponents())
                        .map(RecordComponent::getName)
                        .map(n -> "`" + n + "`")
                        .collect(Collectors.joining(", "));

        assertThat(section(title(event)))
                .contains("Level: " + level + "\n")
                .contains("Fields: " + fields + "\n")
                .containsPattern("(?m)^Cause: .{20,}")
                .containsPattern("(?m)^Operator: .{10,}");
    }

    private static String title(Class<? extends Event> event) {
        return EventFormat.number(event) + " " + EventFormat.name(event);
    }

    private static String section(String title) throws IOException {
        String text = Files.readString(PAGE);
        int start = text.indexOf("## " + title + "\n");
        assertThat(start).as(title).isNotNegative();
        int end = text.indexOf("\n## ", start + 1);
        return text.substring(start, end < 0 ? text.length() : end);
    }
}
