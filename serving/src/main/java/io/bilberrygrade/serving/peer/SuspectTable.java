package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * The suspects that the crashes of a report refer to, each once, numbered from 0 in the order of
 * the fields; serialized as an array.
 *
 * @param parts ids of eight hexadecimal digits, four bytes each
 * @param requests digests of requests, six bytes each
 * @param others all other ids
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"parts", "requests", "others"})
public record SuspectTable(Bytes parts, Bytes requests, List<String> others) {}
