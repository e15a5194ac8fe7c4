package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * Capacities that the answering daemon knows, serialized as an array to keep messages small.
 *
 * @param own its own capacity; null if it states none
 * @param named capacities of the aggregators that the answer names, in their order; null for one
 *     that states none
 * @param minMillis least processor time of the daemons that it was in contact with, in thousandths
 *     of a core
 * @param maxMillis greatest processor time of these
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"own", "named", "minMillis", "maxMillis"})
public record CapacityReply(
        CapacityEntry own, List<CapacityEntry> named, long minMillis, long maxMillis) {}
