package io.bilberrygrade.standins.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Converts the records that stand-ins send and accept to and from JSON. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Returns the JSON text of a record. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a record; throws {@link UncheckedIOException} when the bytes are not its JSON form. */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns {@code current} with the fields that occur in {@code bytes} replaced. */
    public static <T> T merge(T current, byte[] bytes, Class<T> type) {
        ObjectNode node = MAPPER.valueToTree(current);
        node.setAll(read(bytes, ObjectNode.class));
        try {
            return MAPPER.treeToValue(node, type);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether {@code bytes} is a JSON object with a field of this name. */
    public static boolean hasField(byte[] bytes, String field) {
        return read(bytes, ObjectNode.class).has(field);
    }

    /** Sends a status and a record as JSON and ends the call. */
    public static void send(RoutingContext context, int status, Object value) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .endAndForget(Buffer.buffer(write(value)));
    }

    /** Returns the body of a call, empty when there is none. */
    public static byte[] body(RoutingContext context) {
        Buffer buffer = context.body().buffer();
        return buffer == null ? new byte[0] : buffer.getBytes();
    }
}
