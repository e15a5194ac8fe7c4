package io.bilberrygrade.serving.answer;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Splits bytes into lines that end with CR LF, or with LF alone. */
final class LineReader {
    private static final byte LF = '\n';

    private final StringBuilder mLine = new StringBuilder();

    /** Reads up to the end of a line, which is returned without it; empty if it isn't there yet. */
    Optional<String> read(ByteBuf in) {
        int length = in.bytesBefore(LF);
        int taken = length < 0 ? in.readableBytes() : length;
        mLine.append(in.readCharSequence(taken, StandardCharsets.ISO_8859_1));
        if (length < 0) {
            return Optional.empty();
        }
        in.skipBytes(1);
        int end = mLine.length() - 1;
        if (end >= 0 && mLine.charAt(end) == '\r') {
            mLine.setLength(end);
        }
        String line = mLine.toString();
        mLine.setLength(0);
        return Optional.of(line);
    }
}
