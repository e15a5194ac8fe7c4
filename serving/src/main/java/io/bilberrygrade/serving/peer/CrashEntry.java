package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Crash of an endpoint's run and the suspects that may have caused it, serialized as an array to
 * keep messages small. Sets of suspects are bits, numbered as in the {@link SuspectTable} of the
 * report.
 *
 * @param ageMillis time since the sender has known of the crash
 * @param begun suspects of requests whose answers had just begun
 * @param waiting suspects of requests that were only received
 * @param cleared suspects with which a request was answered since
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis", "ageMillis", "begun", "waiting", "cleared"})
public record CrashEntry(
        String endpoint,
        long startedAtMillis,
        long ageMillis,
        Bytes begun,
        Bytes waiting,
        Bytes cleared) {}
