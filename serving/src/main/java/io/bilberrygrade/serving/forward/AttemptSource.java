package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Outcome;
import java.time.Instant;
import java.util.Optional;

/** Plans the attempts of one request by the newest configuration. */
final class AttemptSource {
    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final ServiceId mService;
    private final HandOvers mHandOvers;

    AttemptSource(
            ForwardContext context,
            ForwardExchange exchange,
            ServiceId service,
            HandOvers handOvers) {
        mContext = context;
        mExchange = exchange;
        mService = service;
        mHandOvers = handOvers;
    }

    /**
     * Returns where the request goes next: to a peer if no endpoint can be reached from here; empty
     * if no endpoint is eligible.
     */
    Optional<Target> next(ImmutableSet<EndpointId> tried, Instant now) {
        Optional<Target> peer = mHandOvers.relay().map(Target.Peer::new);
        return peer.isPresent() ? peer : plan(tried, now).map(Target.Endpoint::new);
    }

    private Optional<AttemptPlan> plan(ImmutableSet<EndpointId> tried, Instant now) {
        return service()
                .flatMap(
                        s ->
                                mContext.planner()
                                        .plan(
                                                mExchange.route(),
                                                s,
                                                mExchange.head().prompt(),
                                                tried,
                                                now));
    }

    /** Returns the refusal of a request that can't be served, before anything of it was sent. */
    Optional<Outcome> refusalOnArrival() {
        return mHandOvers.relay().isPresent()
                ? Optional.empty()
                : mHandOvers.refusalOfPeer().or(this::refusalHere);
    }

    private Optional<Outcome> refusalHere() {
        return service().flatMap(s -> Refusals.onArrival(mContext, mExchange, s));
    }

    /** Returns the service; empty if no configuration has it. */
    private Optional<ForwardService> service() {
        Optional<ForwardingConfig> newest = mContext.state().config();
        return newest.map(c -> c.services().get(mService))
                .or(() -> mExchange.config().map(c -> c.services().get(mService)));
    }

    /** Where an attempt goes. */
    sealed interface Target {
        /** Returns whether memory has to be reserved before. */
        boolean needsReservation();

        /** A peer, which chooses the endpoint. */
        record Peer(Address address) implements Target {
            @Override
            public boolean needsReservation() {
                return false;
            }
        }

        /** An endpoint, and those that help it. */
        record Endpoint(AttemptPlan plan) implements Target {
            @Override
            public boolean needsReservation() {
                return !plan.reservations().isEmpty();
            }
        }
    }
}
