package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes frames: a length of four bytes, then one MessagePack envelope. */
final class PeerFrames {
    static final int MAX_FRAME_BYTES = 2 << 20;
    private static final int LENGTH_BYTES = 4;

    private final ControlTraffic mTraffic;

    PeerFrames(ControlTraffic traffic) {
        mTraffic = traffic;
    }

    /**
     * Reads the socket's frames. A malformed or oversized frame is reported and ends the reading.
     */
    void read(NetSocket socket, Consumer<Envelope> receiver, Consumer<String> onError) {
        Reader reader = new Reader(socket, receiver, onError);
        reader.mParser.handler(reader::onRecord);
    }

    /** Encodes a frame and counts it as sent. */
    Buffer encode(Envelope envelope) {
        try {
            byte[] body = Mappers.MESSAGE_PACK.writeValueAsBytes(envelope);
            mTraffic.sent(Step.PEER_CALL, body.length + LENGTH_BYTES);
            return Buffer.buffer(body.length + LENGTH_BYTES)
                    .appendInt(body.length)
                    .appendBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Decodes a frame; empty if it is no envelope. */
    private static Optional<Envelope> decode(byte[] frame) {
        try {
            checkLengths(frame);
            return Optional.ofNullable(Mappers.MESSAGE_PACK.readValue(frame, Envelope.class));
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Fails if a value announces more bytes than the frame has, since the parser allocates them
     * before it reads them.
     */
    private static void checkLengths(byte[] frame) throws IOException {
        try (MessageUnpacker values = MessagePack.newDefaultUnpacker(frame)) {
            while (values.hasNext()) {
                values.skipValue();
            }
        }
    }

    private final class Reader {
        private final RecordParser mParser;
        private final Consumer<Envelope> mReceiver;
        private final Consumer<String> mOnError;
        private boolean mReadingLength = true;

        Reader(NetSocket socket, Consumer<Envelope> receiver, Consumer<String> onError) {
            mReceiver = receiver;
            mOnError = onError;
            mParser = RecordParser.newFixed(LENGTH_BYTES, socket);
        }

        private void onRecord(Buffer bytes) {
            mTraffic.received(Step.PEER_CALL, bytes.length());
            if (mReadingLength) {
                onLength(bytes.getInt(0));
            } else {
                onBody(bytes);
            }
        }

        private void onLength(int length) {
            if (length <= 0 || length > MAX_FRAME_BYTES) {
                fail("a frame of " + length + " bytes");
                return;
            }
            mReadingLength = false;
            mParser.fixedSizeMode(length);
        }

        private void onBody(Buffer bytes) {
            mReadingLength = true;
            mParser.fixedSizeMode(LENGTH_BYTES);
            Optional<Envelope> envelope = decode(bytes.getBytes());
            if (envelope.isEmpty()) {
                fail("a frame that is no envelope");
            } else if (envelope.get().version() != Envelope.VERSION
                    || envelope.get().message() == null) {
                fail("a frame of version " + envelope.get().version());
            } else {
                mReceiver.accept(envelope.get());
            }
        }

        private void fail(String fault) {
            mParser.handler(b -> {});
            mOnError.accept(fault);
        }
    }
}
