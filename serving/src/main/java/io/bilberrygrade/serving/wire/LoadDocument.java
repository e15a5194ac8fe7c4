package io.bilberrygrade.serving.wire;

/**
 * Load that a model engine reports of itself, piggybacked on answers and read on request. {@code
 * ageMillis} is how old the report is, {@code queuedTokens} the prompt tokens not yet prefilled,
 * {@code queuedShortTokens} the part of them at short priority, {@code freeTokens} the unreserved
 * KV memory in tokens.
 */
public record LoadDocument(
        long ageMillis,
        long queuedTokens,
        long queuedShortTokens,
        int runningRequests,
        long freeTokens) {}
