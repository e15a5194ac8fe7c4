package io.bilberrygrade.serving.answer;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * One complete event of a stream with its original bytes.
 *
 * @param progress whether it has any field; comments aren't progress, since an endpoint may send
 *     them while its work is stalled
 */
public record StreamEvent(OptionalLong id, boolean progress, Buffer bytes) {}
