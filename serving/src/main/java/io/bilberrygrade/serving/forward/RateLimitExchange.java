package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.ratelimit.EndpointRateLimits;
import io.bilberrygrade.core.ratelimit.FollowerShares;
import io.bilberrygrade.core.ratelimit.PermitGrant;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.core.ratelimit.RateLimitAllocator;
import io.bilberrygrade.core.ratelimit.RateLimitPermits;
import io.bilberrygrade.core.ratelimit.RateLimitStatement;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.peer.PermitGrantEntry;
import io.bilberrygrade.serving.peer.PermitRequestEntry;
import io.bilberrygrade.serving.peer.RateLimitReply;
import io.bilberrygrade.serving.peer.RateLimitReport;
import io.bilberrygrade.serving.room.CapacityLog;
import io.bilberrygrade.serving.room.ColdController;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Divides the rate limits that endpoints state among the daemons, as part of the exchange of work:
 * daemons report the limits that they are told of, and the aggregator hands out permits.
 */
final class RateLimitExchange {
    private final FleetView mFleet;
    private final FleetMember mSelf;
    private final EndpointRateLimits mLimits;
    private final RateLimitPermits mPermits;
    private final ColdController mCold;
    private final EventLog mEvents;
    private final FollowerShares mShares = new FollowerShares();
    private final RateLimitAllocator mAllocator = new RateLimitAllocator();
    private Optional<FleetMember> mFollowed = Optional.empty();
    private Instant mFollowedSince = Instant.MIN;

    RateLimitExchange(FleetView fleet, FleetMember self, EndpointTracker tracker, EventLog events) {
        mFleet = fleet;
        mSelf = self;
        mLimits = tracker.rateLimits();
        mPermits = tracker.permits();
        mCold = tracker.cold();
        mEvents = events;
    }

    /** Updates the aggregator that this daemon follows; an aggregator serves itself. */
    void update(Instant now) {
        FleetMember aggregator = mFleet.aggregator(now);
        if (!mFollowed.equals(Optional.of(aggregator))) {
            CapacityLog.recordAggregator(mEvents, mFleet, now);
            mFollowed = Optional.of(aggregator);
            mFollowedSince = now;
        }
        mFleet.peakSize(now);
        if (aggregator.equals(mSelf)) {
            mShares.recordReport(mSelf.address(), followedFor(now), now);
            mAllocator.fill(mLimits, fraction(now), now);
            grantToSelf(now);
        } else {
            mShares.clear();
            mAllocator.clear();
        }
    }

    private Duration followedFor(Instant now) {
        return Duration.between(mFollowedSince, now);
    }

    /** Returns the part of each limit that this daemon hands out. */
    double fraction(Instant now) {
        return mFleet.hasMetPeers() ? mShares.fraction(mFleet.peakSize(now), now) : 0;
    }

    private void grantToSelf(Instant now) {
        mPermits.takeRequests(now)
                .forEach(
                        (run, request) ->
                                mPermits.add(run, mAllocator.grant(run, request, now), now, now));
    }

    /** Returns what to report to a peer; null if no rate limit is known. */
    RateLimitReport report(Address peer, Instant now) {
        if (mLimits.isEmpty()) {
            return null;
        }
        boolean follows =
                mFollowed.filter(m -> m.address().equals(peer) && !m.equals(mSelf)).isPresent();
        return new RateLimitReport(
                follows ? followedFor(now).toMillis() : RateLimitReport.NOT_FOLLOWED,
                RateLimitCodec.entries(mLimits.recentOwn(now), now),
                RateLimitCodec.requests(follows ? mPermits.takeRequests(now) : ImmutableMap.of()),
                mCold.entries(true));
    }

    /** Records a peer's report and returns the reply; null if no rate limit is known. */
    RateLimitReply answer(Address peer, RateLimitReport report, Instant now) {
        boolean follower = report == null || report.followedMillis() >= 0;
        List<PermitGrantEntry> grants = ImmutableList.of();
        if (report != null && report.limits() != null && report.requests() != null) {
            merge(RateLimitCodec.statements(report.limits(), now), peer);
            mCold.onPeerEntries(report.cold());
            if (follower) {
                Duration followed = Duration.ofMillis(report.followedMillis());
                mShares.recordReport(peer, followed, now);
                grants = grant(report.requests(), now);
            }
        }
        ImmutableList<RateLimitStatement> limits =
                follower ? mLimits.all() : mLimits.recentOwn(now);
        return mLimits.isEmpty()
                ? null
                : new RateLimitReply(
                        RateLimitCodec.entries(limits, now), grants, mCold.entries(!follower));
    }

    private ImmutableList<PermitGrantEntry> grant(List<PermitRequestEntry> requests, Instant now) {
        if (!mFleet.isAggregator(now)) {
            return ImmutableList.of();
        }
        mAllocator.fill(mLimits, fraction(now), now);
        return requests.stream()
                .map(
                        r -> {
                            EndpointRun run = RateLimitCodec.run(r.endpoint(), r.startedAtMillis());
                            PermitGrant grant =
                                    mAllocator.grant(run, RateLimitCodec.request(r), now);
                            return RateLimitCodec.entry(run, grant);
                        })
                .collect(ImmutableList.toImmutableList());
    }

    /** Applies a peer's reply to a report that was sent at the given time. */
    void apply(Address peer, RateLimitReply reply, Instant askedAt, Instant now) {
        if (reply == null || reply.limits() == null || reply.grants() == null) {
            return;
        }
        merge(RateLimitCodec.statements(reply.limits(), now), peer);
        mCold.onPeerEntries(reply.cold());
        reply.grants()
                .forEach(
                        g ->
                                mPermits.add(
                                        RateLimitCodec.run(g.endpoint(), g.startedAtMillis()),
                                        RateLimitCodec.grant(g),
                                        askedAt,
                                        now));
    }

    private void merge(ImmutableList<RateLimitStatement> statements, Address peer) {
        for (RateLimitStatement statement : statements) {
            if (mLimits.merge(statement)) {
                mEvents.record(
                        new ForwardEvent.EndpointRateLimitChanged(
                                statement.run().id().value(),
                                statement
                                        .limit()
                                        .map(RateLimit::perSecond)
                                        .map(Object::toString)
                                        .orElse(""),
                                true,
                                peer.toString()));
            }
        }
    }
}
