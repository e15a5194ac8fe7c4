package io.bilberrygrade.serving.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CompletionBodyReaderTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"prompt\":\"PROMPT\"}",
                "{\"model\":\"m\",\"prompt\":\"PROMPT\",\"stream\":true}",
                "{ \"prompt\" : \"PROMPT\" , \"stop\" : [\"x\", {\"y\": 1}] }",
            })
    void findsPromptInPlace(String form) throws MalformedBodyException {
        String prompt = "say \\\"hello\\\" to \u00e4ll ".repeat(20_000);
        Buffer body = Buffer.buffer(form.replace("PROMPT", prompt));

        CompletionBody read = CompletionBodyReader.read(body);

        String found = body.getString(read.promptStart(), read.promptEnd());
        assertThat(found).isEqualTo(prompt);
        int bytes = Buffer.buffer(prompt).length();
        assertThat(read.prompt().tokens()).isEqualTo((bytes + 3) / 4);
        assertThat(read.prompt().prefixHashes().length()).isEqualTo(Math.min(128, bytes / 4096));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "null", "[]", "{", "{\"prompt\":1}", "{\"prompt\":\"a\"", "{\"a\":1}"})
    void rejectsInvalidBodies(String text) {
        assertThatThrownBy(() -> CompletionBodyReader.read(Buffer.buffer(text)))
                .isInstanceOf(MalformedBodyException.class);
    }
}
