package io.bilberrygrade.serving.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One line of an engine's answer stream, which is newline-delimited JSON. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = EngineLine.Tokens.class, name = "tokens"),
    @JsonSubTypes.Type(value = EngineLine.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = EngineLine.Failed.class, name = "failed")
})
public sealed interface EngineLine {
    /** Generated tokens; {@code offset} is the position of the first of them in the answer. */
    record Tokens(int offset, int count, String text) implements EngineLine {}

    /** End of a complete answer of {@code tokens} tokens, counted from offset 0. */
    record Finished(int tokens) implements EngineLine {}

    /** End of an answer that the engine could not complete. */
    record Failed(String reason) implements EngineLine {}
}
