package io.bilberrygrade.serving.wire;

/**
 * Load reported by a model engine, piggybacked on answers and available on request. {@code
 * ageMillis} is the age of the report, {@code queuedTokens} the prompt tokens not yet prefilled,
 * {@code queuedShortTokens} those of them with short priority, {@code freeTokens} the unreserved KV
 * memory in tokens.
 */
public record LoadDocument(
        long ageMillis,
        long queuedTokens,
        long queuedShortTokens,
        int runningRequests,
        long freeTokens) {}
