package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Work that the daemons have sent to each endpoint: this one's own, counted as it comes and goes,
 * and what peers said of theirs, which is forgotten once it is too old. Sums are kept up to date,
 * since a placement asks for all endpoints and there may be hundreds of peers.
 */
public final class WorkLedger {
    /** Age at which a peer's statement says nothing any more; questions last about this long. */
    private static final Duration PEER_LIFETIME = Duration.ofSeconds(2);

    private final Map<EndpointId, EndpointWork> mOwn = new HashMap<>();

    /** Of all peers together. */
    private final Map<EndpointId, EndpointWork> mPeerSums = new HashMap<>();

    /** The peer that was heard last comes last. */
    private final Map<InstanceId, PeerWork> mPeers = new LinkedHashMap<>();

    /** Adds work of this daemon; a part that was read or has ended is added as a negative. */
    public void add(EndpointId endpoint, EndpointWork change) {
        add(mOwn, endpoint, change);
    }

    /** Counts what a sending is for each endpoint now, in place of what it was before. */
    public void replace(
            ImmutableMap<EndpointId, EndpointWork> earlier,
            ImmutableMap<EndpointId, EndpointWork> work) {
        takeOff(mOwn, earlier);
        work.forEach(this::add);
    }

    /** Returns this daemon's own work. */
    public ImmutableMap<EndpointId, EndpointWork> own() {
        return ImmutableMap.copyOf(mOwn);
    }

    /** Takes over what a peer says of its work, in place of what it said before. */
    public void heard(InstanceId peer, ImmutableMap<EndpointId, EndpointWork> work, Instant now) {
        PeerWork earlier = mPeers.remove(peer);
        if (earlier != null) {
            takeOff(mPeerSums, earlier.work());
        }
        mPeers.put(peer, new PeerWork(work, now));
        work.forEach((endpoint, w) -> add(mPeerSums, endpoint, w));
        forgetOld(now);
    }

    /** Returns all work that is known of an endpoint. */
    public EndpointWork of(EndpointId endpoint, Instant now) {
        forgetOld(now);
        return mOwn.getOrDefault(endpoint, EndpointWork.NONE)
                .plus(mPeerSums.getOrDefault(endpoint, EndpointWork.NONE));
    }

    /** Returns the number of peers that were heard lately. */
    public long peers(Instant now) {
        forgetOld(now);
        return mPeers.size();
    }

    private void forgetOld(Instant now) {
        Iterator<PeerWork> oldestFirst = mPeers.values().iterator();
        while (oldestFirst.hasNext()) {
            PeerWork peer = oldestFirst.next();
            if (Duration.between(peer.heardAt(), now).compareTo(PEER_LIFETIME) < 0) {
                return;
            }
            oldestFirst.remove();
            takeOff(mPeerSums, peer.work());
        }
    }

    private static void takeOff(
            Map<EndpointId, EndpointWork> sums, ImmutableMap<EndpointId, EndpointWork> work) {
        work.forEach((endpoint, w) -> add(sums, endpoint, w.negated()));
    }

    private static void add(
            Map<EndpointId, EndpointWork> sums, EndpointId endpoint, EndpointWork change) {
        EndpointWork sum = sums.getOrDefault(endpoint, EndpointWork.NONE).plus(change);
        if (sum.equals(EndpointWork.NONE)) {
            sums.remove(endpoint);
        } else {
            sums.put(endpoint, sum);
        }
    }

    private record PeerWork(ImmutableMap<EndpointId, EndpointWork> work, Instant heardAt) {}
}
