package io.bilberrygrade.serving.relay;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.relay.RelayChoice;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Peers that take over the requests of this daemon while it is cut off from the endpoints. Only the
 * aggregator and the standby know all members of the fleet, so they are asked.
 */
public final class RelayDirectory {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    /** Least time between two rounds of questions. */
    private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

    /** Number of relays to ask for, among which the requests are spread. */
    private static final int WANTED = 8;

    /** Seeds asked in a round if neither the aggregator nor the standby names relays. */
    private static final int SEEDS_PER_ROUND = 2;

    private final PeerNetwork mNetwork;
    private final FleetView mFleet;
    private final RelayNaming mNaming;
    private final Supplier<Instant> mNow;
    private final RelayChoice mChoice;
    private int mNextSeed;
    private boolean mRoundUnderWay;
    private Instant mRoundStartedAt = Instant.MIN;

    /**
     * Creates the directory of a daemon that knows of no relays; {@link #refresh} asks for some.
     */
    public RelayDirectory(
            PeerNetwork network,
            FleetView fleet,
            RelayNaming naming,
            Supplier<Instant> now,
            UniformRandomProvider random) {
        mNetwork = network;
        mFleet = fleet;
        mNaming = naming;
        mNow = now;
        mChoice = new RelayChoice(random);
    }

    /**
     * Asks for relays if those at hand are stale, one peer after the other until one names some. At
     * most one call is under way, and a round starts at most once a second, so that this may be
     * called for each request.
     */
    public void refresh() {
        Instant now = mNow.get();
        if (!mRoundUnderWay
                && mChoice.isStale(now)
                && !mRoundStartedAt.plus(ROUND_INTERVAL).isAfter(now)) {
            mRoundUnderWay = true;
            mRoundStartedAt = now;
            askNext(sources(now));
        }
    }

    private Deque<Address> sources(Instant now) {
        Set<Address> sources = new LinkedHashSet<>();
        sources.add(mFleet.aggregator(now).address());
        mFleet.standby(now).map(FleetMember::address).ifPresent(sources::add);
        ImmutableList<Address> seeds = mFleet.seeds();
        for (int i = 0; i < Math.min(SEEDS_PER_ROUND, seeds.size()); i++) {
            sources.add(seeds.get(Math.floorMod(mNextSeed++, seeds.size())));
        }
        return new ArrayDeque<>(sources);
    }

    private void askNext(Deque<Address> sources) {
        if (sources.isEmpty()) {
            mRoundUnderWay = false;
            return;
        }
        ask(sources.remove())
                .onFailure()
                .recoverWithItem(ImmutableList.of())
                .subscribe()
                .with(named -> onNamed(named, sources));
    }

    private Uni<ImmutableList<Address>> ask(Address peer) {
        if (peer.equals(mNaming.self())) {
            return Uni.createFrom().item(mNaming.name(peer, WANTED));
        }
        PeerMessage wanted = new PeerMessage.RelaysWanted(mNaming.self().toString(), WANTED);
        return Uni.createFrom()
                .deferred(() -> mNetwork.call(peer, wanted, CALL_TIMEOUT))
                .map(RelayDirectory::addresses);
    }

    private static ImmutableList<Address> addresses(PeerMessage reply) {
        return reply instanceof PeerMessage.RelaysNamed named && named.addresses() != null
                ? parsed(named.addresses())
                : ImmutableList.of();
    }

    private static ImmutableList<Address> parsed(List<String> addresses) {
        return addresses.stream()
                .filter(Objects::nonNull)
                .flatMap(a -> Address.tryParseRemote(a).stream())
                .limit(WANTED)
                .collect(ImmutableList.toImmutableList());
    }

    private void onNamed(ImmutableList<Address> named, Deque<Address> sources) {
        if (named.isEmpty()) {
            askNext(sources);
            return;
        }
        mRoundUnderWay = false;
        mChoice.set(named, mNow.get());
    }

    /** Returns the relay for the next request; empty if none is known or all are left out. */
    public Optional<Address> choose() {
        return mChoice.choose(mNow.get());
    }

    /** Returns whether no relay is known, not even one that is left out for a while. */
    public boolean isEmpty() {
        return mChoice.isEmpty(mNow.get());
    }

    /** Returns the number of relays that are known, also of those that are left out for a while. */
    public int size() {
        return mChoice.size(mNow.get());
    }

    /** Records that a request was handed over. */
    public void recordStarted(Address relay) {
        mChoice.recordStarted(relay);
    }

    /** Records that a request that was handed over has ended, in whatever way. */
    public void recordEnded(Address relay) {
        mChoice.recordEnded(relay);
    }

    /** Leaves out a relay that could not be reached or broke off. */
    public void recordFailed(Address relay) {
        mChoice.recordFailed(relay, mNow.get());
    }

    /** Leaves out a relay that refused a request, for the time that it stated, if any. */
    public void recordRefused(Address relay, Optional<Duration> retryAfter) {
        mChoice.recordRefused(relay, retryAfter, mNow.get());
    }
}
