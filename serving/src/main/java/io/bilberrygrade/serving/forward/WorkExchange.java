package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.WorkLedger;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.peer.WorkEntry;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Tells peers what this daemon has sent to each endpoint, and hears the same of them, so that the
 * daemons' choices add up to one. The answers carry confirmations of the configuration. Changes are
 * gathered for a moment; without any, the statement is repeated before peers would forget it.
 */
final class WorkExchange implements PeerHandler {
    /** Time for which changes are gathered; a pass of an engine takes about twice that. */
    private static final Duration GATHER = Duration.ofMillis(20);

    /** Further time for each peer, which bounds the bytes of a large fleet. */
    private static final Duration GATHER_PER_PEER = Duration.ofMillis(5);

    /** Pause after which the statement is repeated; a few fit into the time that it counts. */
    private static final Duration REPEAT = Duration.ofMillis(600);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

    private final PeerNetwork mNetwork;
    private final PeerBook mPeers;
    private final WorkLedger mWork;
    private final Vouching mVouching;
    private final Address mSelf;
    private final Clocks mClocks;
    private final Timers mTimers;
    private ImmutableMap<EndpointId, EndpointWork> mSaid = ImmutableMap.of();
    private Instant mSaidAt = Instant.MIN;

    WorkExchange(
            PeerNetwork network,
            PeerBook peers,
            WorkLedger work,
            Vouching vouching,
            Address self,
            Clocks clocks,
            Timers timers) {
        mNetwork = network;
        mPeers = peers;
        mWork = work;
        mVouching = vouching;
        mSelf = self;
        mClocks = clocks;
        mTimers = timers;
    }

    /** Says what is new, again and again. */
    void start() {
        Instant now = mClocks.now();
        ImmutableMap<EndpointId, EndpointWork> own = mWork.own();
        if (!own.equals(mSaid) || mSaidAt.plus(REPEAT).isBefore(now)) {
            mSaid = own;
            mSaidAt = now;
            PeerMessage.Work statement = statement(own, now);
            mPeers.callable(now).forEach(p -> say(p, statement));
        }
        Duration pause = GATHER.plus(GATHER_PER_PEER.multipliedBy(mPeers.alive(now).size()));
        mTimers.after(pause).subscribe().with(v -> start());
    }

    private PeerMessage.Work statement(ImmutableMap<EndpointId, EndpointWork> own, Instant now) {
        return new PeerMessage.Work(
                mSelf.toString(),
                mPeers.digest(now),
                own.entrySet().stream()
                        .map(e -> entry(e.getKey(), e.getValue()))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static WorkEntry entry(EndpointId id, EndpointWork work) {
        return new WorkEntry(
                id.value(),
                work.calls(),
                work.readMillis(),
                work.writers(),
                work.strictCalls(),
                work.tokens());
    }

    private void say(Address peer, PeerMessage.Work statement) {
        mPeers.busy(peer, true);
        ClockReading askedAt = mClocks.read();
        mNetwork.call(peer, statement, CALL_TIMEOUT)
                .subscribe()
                .with(
                        reply -> {
                            mPeers.busy(peer, false);
                            mPeers.heard(peer, mClocks.now());
                            if (reply instanceof PeerMessage.WorkHeard h && h.peers() != null) {
                                h.peers().forEach(this::learn);
                                mVouching.heard(Optional.ofNullable(h.confirmation()), askedAt);
                            }
                        },
                        e -> {
                            mPeers.busy(peer, false);
                            mPeers.failed(peer, mClocks.now());
                        });
    }

    private void learn(String address) {
        Address.tryParse(address).ifPresent(a -> mPeers.learn(a, mClocks.now()));
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        if (!(message instanceof PeerMessage.Work work) || work.entries() == null) {
            return Uni.createFrom().item(new PeerMessage.Failure("only work is exchanged here"));
        }
        Instant now = mClocks.now();
        mWork.heard(from.instance(), work(work.entries()), now);
        Address.tryParse(work.address()).ifPresent(a -> mPeers.heard(a, now));
        boolean same = work.peersDigest() == mPeers.digest(now);
        List<String> known =
                same
                        ? ImmutableList.of()
                        : mPeers.alive(now).stream().map(Address::toString).toList();
        return Uni.createFrom().item(new PeerMessage.WorkHeard(known, mVouching.statement()));
    }

    private static ImmutableMap<EndpointId, EndpointWork> work(List<WorkEntry> entries) {
        return entries.stream()
                .collect(
                        ImmutableMap.toImmutableMap(
                                e -> new EndpointId(e.endpoint()),
                                e ->
                                        new EndpointWork(
                                                e.calls(),
                                                e.readMillis(),
                                                e.writers(),
                                                e.strictCalls(),
                                                e.tokens())));
    }
}
