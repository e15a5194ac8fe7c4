package io.bilberrygrade.serving.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/** JSON forms of a completion's answer, compatible with the common completions API. */
public final class CompletionDocuments {
    private CompletionDocuments() {}

    /** An answer or one part of a streamed answer. */
    public record CompletionDocument(
            String id, String object, String model, List<Choice> choices) {}

    /** The text of an answer; {@code finishReason} is present in the last part. */
    public record Choice(
            int index, String text, @JsonProperty("finish_reason") Optional<String> finishReason) {}
}
