package io.bilberrygrade.serving.answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventStreamParserTest {
    private static final String TEXT =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-version: 3\nid: 3\ndata: c\n\n";

    private final EventStreamParser mParser = new EventStreamParser();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 100})
    void eventsDoNotDependOnHowTheBytesAreSplit(int size) throws MalformedStreamException {
        List<StreamEvent> events = new ArrayList<>();
        for (int i = 0; i < TEXT.length(); i += size) {
            String part = TEXT.substring(i, Math.min(TEXT.length(), i + size));
            events.addAll(mParser.feed(Buffer.buffer(part)));
        }
        assertThat(events)
                .extracting(StreamEvent::id)
                .containsExactly(OptionalLong.of(1), OptionalLong.of(2), OptionalLong.of(3));
        assertThat(events.stream().map(e -> e.bytes().toString()).reduce("", String::concat))
                .isEqualTo(TEXT);
        assertThat(mParser.atBoundary()).isTrue();
    }

    @Test
    void partOfAnEventIsHeldBack() throws MalformedStreamException {
        assertThat(mParser.feed(Buffer.buffer("id: 1\ndata: a\n"))).isEmpty();
        assertThat(mParser.atBoundary()).isFalse();
    }

    @Test
    void nonNumericIdIsRejected() {
        assertThatThrownBy(() -> mParser.feed(Buffer.buffer("id: x\n\n")))
                .isInstanceOf(MalformedStreamException.class)
                .hasMessageContaining("'x'");
    }
}
