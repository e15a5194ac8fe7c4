package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.routing.Mixing;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Addresses of peers, learnt from the seeds and from the peers themselves. One that doesn't answer
 * is tried again now and then, and forgotten if it never does, unless it is a seed.
 */
final class PeerBook {
    /** Most peers that are known, and most that an answer names. */
    static final int MAX_PEERS = 64;

    private static final Duration RETRY = Duration.ofSeconds(1);
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    private final Address mSelf;
    private ImmutableSet<Address> mSeeds = ImmutableSet.of();
    private final Map<Address, Peer> mPeers = new HashMap<>();

    PeerBook(Address self, ImmutableList<Address> seeds) {
        mSelf = self;
        setSeeds(seeds);
    }

    /** Replaces the seeds; what was learnt from earlier ones stays. */
    void setSeeds(ImmutableList<Address> seeds) {
        mSeeds = ImmutableSet.copyOf(seeds);
        mSeeds.forEach(s -> learn(s, Instant.MIN));
    }

    /** Takes note of an address that a peer named. */
    void learn(Address address, Instant now) {
        if (!address.equals(mSelf) && mPeers.size() < MAX_PEERS) {
            mPeers.computeIfAbsent(address, a -> new Peer(hash(a), now));
        }
    }

    /** Takes note that a peer called or answered. */
    void heard(Address address, Instant now) {
        learn(address, now);
        Peer peer = mPeers.get(address);
        if (peer != null) {
            peer.mHeardAt = now;
            peer.mRetryAt = Instant.MIN;
        }
    }

    /** Takes note that a call failed. */
    void failed(Address address, Instant now) {
        Peer peer = mPeers.get(address);
        if (peer == null) {
            return;
        }
        peer.mRetryAt = now.plus(RETRY);
        if (!mSeeds.contains(address) && peer.mHeardAt.plus(LIFETIME).isBefore(now)) {
            mPeers.remove(address);
        }
    }

    /** Returns the peers that are to be called now. */
    ImmutableList<Address> callable(Instant now) {
        return mPeers.entrySet().stream()
                .filter(e -> !e.getValue().mBusy && !now.isBefore(e.getValue().mRetryAt))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** States whether a call to the peer is under way; a peer has one at a time. */
    void busy(Address address, boolean busy) {
        Peer peer = mPeers.get(address);
        if (peer != null) {
            peer.mBusy = busy;
        }
    }

    /** Returns the number of peers that are known, whether they live or not. */
    int known() {
        return mPeers.size();
    }

    /** Returns the peers that were heard lately. */
    ImmutableList<Address> alive(Instant now) {
        return aliveEntries(now).map(Map.Entry::getKey).collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns a number that is equal for daemons that know the same daemons, themselves included.
     */
    long digest(Instant now) {
        return hash(mSelf) + aliveEntries(now).mapToLong(e -> e.getValue().mHash).sum();
    }

    private Stream<Map.Entry<Address, Peer>> aliveEntries(Instant now) {
        return mPeers.entrySet().stream()
                .filter(e -> e.getValue().mHeardAt.isAfter(now.minus(LIFETIME)));
    }

    private static long hash(Address address) {
        return Mixing.hash(address.toString());
    }

    private static final class Peer {
        private final long mHash;
        private Instant mHeardAt;
        private Instant mRetryAt = Instant.MIN;
        private boolean mBusy;

        Peer(long hash, Instant heardAt) {
            mHash = hash;
            mHeardAt = heardAt;
        }
    }
}
