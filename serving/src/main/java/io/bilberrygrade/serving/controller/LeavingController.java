package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.leaving.LeavingMarks;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.MembershipEvent;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.LeavingMark;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import java.time.Duration;
import java.time.Instant;

/**
 * Tracks which endpoints are leaving, from their refusals, from peers and from the published list,
 * which may be out of date, and gossips them to peers.
 */
public final class LeavingController implements GossipContributor {
    private static final String ENDPOINT = "endpoint";
    private static final String LEAVING = "leaving";

    private final LeavingMarks mMarks = new LeavingMarks();
    private final boolean mGossips;
    private final Runnable mSpreadNews;
    private final EventLog mEvents;

    /** Creates the controller; unless {@code gossips}, only the published list is used. */
    public LeavingController(boolean gossips, Runnable spreadNews, EventLog events) {
        mGossips = gossips;
        mSpreadNews = spreadNews;
        mEvents = events;
    }

    /** Returns whether an endpoint is leaving and must get no new work. */
    public boolean isLeaving(EndpointId endpoint, Instant now) {
        return mMarks.isLeaving(endpoint, now);
    }

    /** Records the reason for which an endpoint refused a call. */
    public void refused(EndpointId endpoint, String reason, Instant now) {
        if (mGossips
                && reason.equals(LEAVING)
                && recordMark(endpoint, now, now, endpoint.value())) {
            mSpreadNews.run();
        }
    }

    /** Applies the published instance list. */
    public void setPublished(InstanceListDocument list) {
        mMarks.setPublished(
                list.instances().stream()
                        .filter(i -> i.kind().equals(ENDPOINT) && i.state().equals(LEAVING))
                        .map(i -> new EndpointId(i.id()))
                        .collect(ImmutableSet.toImmutableSet()));
    }

    @Override
    public void contribute(GossipDigestBuilder digestBuilder, Instant now) {
        if (mGossips) {
            mMarks.newest(GossipDigest.MAX_LEAVING, now)
                    .forEach(
                            m ->
                                    digestBuilder.add(
                                            new LeavingMark(
                                                    m.endpoint().value(), m.age().toMillis())));
        }
    }

    @Override
    public boolean merge(PeerIdentity from, GossipDigest digest, Instant now) {
        boolean news = false;
        for (LeavingMark m : digest.leaving()) {
            Instant seenAt = now.minus(Duration.ofMillis(Math.max(0, m.ageMillis())));
            news |=
                    mGossips
                            && recordMark(
                                    new EndpointId(m.endpoint()), seenAt, now, from.toString());
        }
        return news;
    }

    private boolean recordMark(EndpointId endpoint, Instant seenAt, Instant now, String source) {
        boolean isNew = mMarks.mark(endpoint, seenAt, now);
        if (isNew) {
            mEvents.record(new MembershipEvent.EndpointLeaving(endpoint.value(), source));
        }
        return isNew;
    }
}
