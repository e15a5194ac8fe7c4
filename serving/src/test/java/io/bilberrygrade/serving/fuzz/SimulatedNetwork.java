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

/** Network between simulated daemons: delays, reorders, cuts, loses and doubles messages. */
public final class SimulatedNetwork {
    private static final int MAX_DELAY_MILLIS = 40;
    private static final ObjectWriter WRITER = Mappers.MESSAGE_PACK.writerFor(PeerMessage.class);
    private static final ObjectReader READER = Mappers.MESSAGE_PACK.readerFor(PeerMessage.class);

    private final UniformRandomProvider mRandom;
    private final Map<Address, SimulatedPeer> mDaemons = new HashMap<>();
    private final Set<Link> mCuts = new HashSet<>();
    private boolean mDoubles;
    private long mSentBytes;

    /** Creates a network without members. */
    public SimulatedNetwork(UniformRandomProvider random) {
        mRandom = random;
    }

    /** Adds a member, in place of an earlier one at its address. */
    public void attach(Address address, SimulatedPeer daemon) {
        mDaemons.put(address, daemon);
    }

    /** Cuts one direction between two daemons. */
    public void cut(Address from, Address to) {
        mCuts.add(new Link(from, to));
    }

    /** Delivers each message twice from now on. */
    public void doubleMessages() {
        mDoubles = true;
    }

    /** Ends all cuts and doubles no more. */
    public void heal() {
        mCuts.clear();
        mDoubles = false;
    }

    /** Returns the bytes of all messages sent so far, without the framing. */
    public long sentBytes() {
        return mSentBytes;
    }

    /** Draws the delay of a message. */
    public Duration delay() {
        return Duration.ofMillis(1 + mRandom.nextInt(MAX_DELAY_MILLIS));
    }

    /** Returns the network as a daemon sees it. */
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
        target.process().onDeath(() -> lost(emitter, caller, to));
        for (int copies = mDoubles ? 2 : 1; copies > 0; copies--) {
            PeerMessage copy = transferred(message);
            if (!mCuts.contains(new Link(from.address(), to))) {
                target.process().schedule(delay(), () -> deliver(emitter, from, target, copy));
            }
        }
    }

    private void lost(
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
                .with(reply -> answer(emitter, target, from, transferred(reply)));
    }

    private void answer(
            UniEmitter<? super PeerMessage> emitter,
            SimulatedPeer target,
            SimulatedPeer from,
            PeerMessage reply) {
        if (!mCuts.contains(new Link(target.address(), from.address()))) {
            from.process().schedule(delay(), () -> emitter.complete(reply));
        }
    }

    /** Returns a message as the other side reads it. */
    private PeerMessage transferred(PeerMessage message) {
        try {
            byte[] bytes = WRITER.writeValueAsBytes(message);
            mSentBytes += bytes.length;
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
