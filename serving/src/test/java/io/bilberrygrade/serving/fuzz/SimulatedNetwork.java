package io.bilberrygrade.serving.fuzz;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Network between simulated daemons that delays, reorders, loses and duplicates messages. */
public final class SimulatedNetwork {
    private static final int MAX_DELAY_MILLIS = 40;
    private static final ObjectWriter WRITER = Mappers.MESSAGE_PACK.writerFor(PeerMessage.class);
    private static final ObjectReader READER = Mappers.MESSAGE_PACK.readerFor(PeerMessage.class);

    private final UniformRandomProvider mRandom;
    private final Map<Address, SimulatedPeer> mDaemons = new HashMap<>();
    private final Set<Link> mCutLinks = new HashSet<>();
    private int mMaxDelayMillis = MAX_DELAY_MILLIS;
    private boolean mDuplicatesMessages;
    private long mTotalSentBytes;

    /** Creates a network without daemons. */
    public SimulatedNetwork(UniformRandomProvider random) {
        mRandom = random;
    }

    /** Attaches a daemon and replaces any other at its address. */
    public void attach(Address address, SimulatedPeer daemon) {
        mDaemons.put(address, daemon);
    }

    /** Drops all further messages from one daemon to another. */
    public void cut(Address from, Address to) {
        mCutLinks.add(new Link(from, to));
    }

    /** Delivers each message twice from now on. */
    public void duplicateMessages() {
        mDuplicatesMessages = true;
    }

    /** Delays each message by a random time up to the given one from now on. */
    public void delayUpTo(Duration max) {
        mMaxDelayMillis = (int) max.toMillis();
    }

    /** Ends all cuts and the duplication of messages. */
    public void heal() {
        mCutLinks.clear();
        mDuplicatesMessages = false;
    }

    /** Returns the size in bytes of all messages sent so far, without framing. */
    public long totalSentBytes() {
        return mTotalSentBytes;
    }

    /** Returns a random delay for a message. */
    public Duration delay() {
        return Duration.ofMillis(1 + mRandom.nextInt(mMaxDelayMillis));
    }

    /** Returns the client through which a daemon calls its peers. */
    public PeerNetwork of(SimulatedPeer from) {
        return (peer, message, timeout) ->
                Uni.createFrom().emitter(e -> send(e, from, peer, message, timeout));
    }

    private void send(
            UniEmitter<? super PeerMessage> emitter,
            SimulatedPeer from,
            Address to,
            PeerMessage message,
            Duration timeout) {
        SimulatedProcess caller = from.process();
        SimulatedPeer target = mDaemons.get(to);
        if (target == null || !target.process().alive()) {
            caller.schedule(delay(), () -> emitter.fail(failure(to, Delivery.NOT_DELIVERED)));
            return;
        }
        caller.schedule(timeout, () -> emitter.fail(failure(to, Delivery.MAY_HAVE_RUN)));
        target.process().onDeath(() -> failUnanswered(emitter, caller, to));
        for (int copies = mDuplicatesMessages ? 2 : 1; copies > 0; copies--) {
            PeerMessage copy = serializedCopy(message);
            if (!mCutLinks.contains(new Link(from.address(), to))) {
                target.process().schedule(delay(), () -> deliver(emitter, from, target, copy));
            }
        }
    }

    private void failUnanswered(
            UniEmitter<? super PeerMessage> emitter, SimulatedProcess caller, Address to) {
        caller.schedule(delay(), () -> emitter.fail(failure(to, Delivery.MAY_HAVE_RUN)));
    }

    private void deliver(
            UniEmitter<? super PeerMessage> emitter,
            SimulatedPeer from,
            SimulatedPeer target,
            PeerMessage message) {
        target.handle(from.identity(), message)
                .subscribe()
                .with(reply -> reply(emitter, target, from, serializedCopy(reply)));
    }

    private void reply(
            UniEmitter<? super PeerMessage> emitter,
            SimulatedPeer target,
            SimulatedPeer from,
            PeerMessage reply) {
        if (!mCutLinks.contains(new Link(target.address(), from.address()))) {
            from.process().schedule(delay(), () -> emitter.complete(reply));
        }
    }

    /** Returns the message after serialization and deserialization. */
    private PeerMessage serializedCopy(PeerMessage message) {
        try {
            byte[] bytes = WRITER.writeValueAsBytes(message);
            mTotalSentBytes += bytes.length;
            return READER.readValue(bytes);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static CallException failure(Address peer, Delivery delivery) {
        return new CallException(Step.PEER_CALL, peer.toString(), delivery, "simulated");
    }

    private record Link(Address from, Address to) {}
}
