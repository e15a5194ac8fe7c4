package io.bilberrygrade.core.forward;

/** Prompt length and maximum answer length of a request in tokens, as declared by its caller. */
public record PromptShape(long promptTokens, long maxAnswerTokens) {}
