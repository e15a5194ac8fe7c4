package io.bilberrygrade.serving.forward;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * One whole event of a stream with its bytes as they came.
 *
 * @param progress whether it has any field; an endpoint may send comments although its work is
 *     stalled
 */
record StreamEvent(OptionalLong id, boolean progress, Buffer bytes) {}
