package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * What a daemon knows of crashes that prompts may have caused, serialized as an array.
 *
 * @param digest digest of all crashes that the sender knows of
 * @param crashes those that the receiver may lack; null if it lacks none
 * @param trials in a report, parts that the sender asks to try again, null if it doesn't follow the
 *     receiver as its aggregator; in a reply, those granted
 * @param suspects what the crashes refer to; null without crashes
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"digest", "crashes", "trials", "suspects"})
public record CrashReport(
        long digest, List<CrashEntry> crashes, List<String> trials, SuspectTable suspects) {}
