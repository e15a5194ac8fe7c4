package io.bilberrygrade.serving.http;

import io.bilberrygrade.core.request.Prompt;
import java.util.Optional;

/**
 * Parsed body of a completion call. The prompt itself isn't copied from the body; {@code
 * promptStart} and {@code promptEnd} are the byte offsets of its JSON string without the quotes.
 */
public record CompletionBody(
        Optional<String> model, Prompt prompt, boolean stream, int promptStart, int promptEnd) {}
