package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Engine that works in passes: each writes one event for every writer and reads what waits, at most
 * a chunk a step; parts of other engines' prompts are read first.
 */
final class PassEngine {
    private final RegisteredEndpoint mEndpoint;
    private final EngineCost mCost;
    private final VirtualClock mClock;
    private final Deque<Reading> mParts = new ArrayDeque<>();
    private final Deque<Reading> mReads = new ArrayDeque<>();
    private final List<PatternRequest> mWriters = new ArrayList<>();
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private int mCalls;
    private boolean mBusy;
    private boolean mCrashed;

    PassEngine(RegisteredEndpoint endpoint, EngineCost cost, VirtualClock clock) {
        mEndpoint = endpoint;
        mCost = cost;
        mClock = clock;
    }

    RegisteredEndpoint endpoint() {
        return mEndpoint;
    }

    /** Takes a request once a slot is free, and then reads a part of its prompt. */
    void admit(Runnable admitted) {
        if (mCalls < mCost.slots()) {
            mCalls++;
            admitted.run();
        } else {
            mWaiting.add(admitted);
        }
    }

    /** Reads its own part of a prompt, or a part for another engine. */
    void read(double tokens, double millis, boolean forOther, Runnable done) {
        (forOther ? mParts : mReads).add(new Reading(tokens, millis, done));
        wake();
    }

    /** Writes an answer; all its prompt was read. */
    void write(PatternRequest request) {
        mWriters.add(request);
        wake();
    }

    /** Ends for good; nothing that is here goes on. */
    void crash() {
        mCrashed = true;
        mParts.clear();
        mReads.clear();
        mWriters.clear();
        mWaiting.clear();
    }

    private void wake() {
        if (!mBusy && !mCrashed) {
            mBusy = true;
            mClock.after(0, this::pass);
        }
    }

    private void pass() {
        if (mWriters.isEmpty() && mParts.isEmpty() && mReads.isEmpty()) {
            mBusy = false;
            return;
        }
        long context = Math.round(mWriters.stream().mapToDouble(PatternRequest::context).sum());
        List<PatternRequest> writing = List.copyOf(mWriters);
        int steps = writing.isEmpty() ? 1 : mCost.stride();
        List<Runnable> read = new ArrayList<>();
        double reading = readChunks(steps, read);
        double length = mCost.passMillis(writing.size(), context) + reading;
        mClock.after(length, () -> passed(writing, read));
    }

    private double readChunks(int steps, List<Runnable> done) {
        double millis = 0;
        for (int step = 0; step < steps; step++) {
            double room = mCost.chunkTokens();
            while (room > 0 && !(mParts.isEmpty() && mReads.isEmpty())) {
                Deque<Reading> queue = mParts.isEmpty() ? mReads : mParts;
                Reading next = queue.peekFirst();
                double tokens = Math.min(room, next.mTokens);
                double part = next.mMillis * tokens / next.mTokens;
                millis += part;
                room -= tokens;
                next.mTokens -= tokens;
                next.mMillis -= part;
                if (next.mTokens <= 0) {
                    queue.removeFirst();
                    done.add(next.mDone);
                }
            }
        }
        return millis;
    }

    private void passed(List<PatternRequest> writing, List<Runnable> read) {
        if (mCrashed) {
            return;
        }
        for (PatternRequest r : writing) {
            if (r.wrote(mClock.nowMillis())) {
                mWriters.remove(r);
                mCalls--;
                if (!mWaiting.isEmpty()) {
                    mCalls++;
                    mWaiting.removeFirst().run();
                }
            }
        }
        read.forEach(Runnable::run);
        pass();
    }

    private static final class Reading {
        private double mTokens;
        private double mMillis;
        private final Runnable mDone;

        Reading(double tokens, double millis, Runnable done) {
            mTokens = tokens;
            mMillis = millis;
            mDone = done;
        }
    }
}
