package io.bilberrygrade.serving.answer;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of a {@code text/event-stream} into complete events, so that an event that was
 * truncated by a broken connection is never relayed.
 */
public final class EventStreamParser {
    /** Limit of one event in bytes; an event holds a few tokens of text. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";

    private Buffer mPending = Buffer.buffer();
    private int mScanned;
    private boolean mLineEmpty = true;
    private boolean mBlank = true;

    /** Adds bytes and returns the events that they complete. */
    public List<StreamEvent> feed(Buffer bytes) throws MalformedStreamException {
        mPending.appendBuffer(bytes);
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (int i = mScanned; i < mPending.length(); i++) {
            if (endsEvent(mPending.getByte(i))) {
                events.add(event(mPending.getBuffer(start, i + 1)));
                start = i + 1;
            }
        }
        if (start > 0) {
            mPending = Buffer.buffer(mPending.getBytes(start, mPending.length()));
        }
        mScanned = mPending.length();
        if (mScanned > MAX_EVENT_BYTES) {
            throw new MalformedStreamException("an event is over " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /** Returns the bytes that are held of a partial event, whose buffer doubles as it grows. */
    public long heldBytes() {
        return 2L * mPending.length();
    }

    /** Returns whether no partial event is pending. */
    public boolean atBoundary() {
        return mPending.length() == 0;
    }

    private boolean endsEvent(byte b) {
        if (b == '\r') {
            return false;
        }
        if (b != '\n') {
            mLineEmpty = false;
            mBlank = false;
            return false;
        }
        boolean ends = mLineEmpty && !mBlank;
        mLineEmpty = true;
        if (ends) {
            mBlank = true;
        }
        return ends;
    }

    private static StreamEvent event(Buffer bytes) throws MalformedStreamException {
        OptionalLong id = OptionalLong.empty();
        boolean progress = false;
        for (String line : bytes.toString(StandardCharsets.UTF_8).split("\r?\n", -1)) {
            progress |= !line.isEmpty() && !line.startsWith(COMMENT);
            if (line.startsWith(ID_FIELD)) {
                id = OptionalLong.of(number(line.substring(ID_FIELD.length()).strip()));
            }
        }
        return new StreamEvent(id, progress, bytes);
    }

    private static long number(String text) throws MalformedStreamException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new MalformedStreamException("an event's id is '" + text + "'", e);
        }
    }
}
