package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Capacity that a daemon's settings state, serialized as an array to keep messages small.
 *
 * @param processorMillis processor time in thousandths of a core
 * @param linkMbps rate of its network link in Mbit/s; 0 if not stated
 * @param slow whether the daemon is too slow for the role of aggregator
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"processorMillis", "linkMbps", "slow"})
public record CapacityEntry(long processorMillis, long linkMbps, boolean slow) {}
