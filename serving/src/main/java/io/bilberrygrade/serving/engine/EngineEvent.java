package io.bilberrygrade.serving.engine;

import io.bilberrygrade.serving.wire.LoadDocument;
import java.util.Optional;

/** Event of an engine's answer stream. */
public sealed interface EngineEvent {
    /** The engine accepted the request; carries the load it reported, if any. */
    record Accepted(Optional<LoadDocument> load) implements EngineEvent {}

    /** Tokens of the answer; {@code offset} is the position of the first of them. */
    record Tokens(int offset, int count, String text) implements EngineEvent {}

    /** The answer is complete and has {@code tokens} tokens, counted from offset 0. */
    record Finished(int tokens) implements EngineEvent {}
}
