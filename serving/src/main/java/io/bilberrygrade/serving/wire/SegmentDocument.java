package io.bilberrygrade.serving.wire;

/** Result of a segment's prefill: the handle of its exported KV cache. */
public record SegmentDocument(String handle, long tokens) {}
