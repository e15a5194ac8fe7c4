package io.bilberrygrade.serving.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.relay.EndpointReach;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RelayEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Notices that this daemon is cut off from all endpoints of a service, names the peer that gets the
 * next request for it meanwhile, and tries out its own links until they work again.
 */
public final class ReachController {
    /** Interval of connects on trial; two in a row end the cut. */
    private static final Duration TRIAL_INTERVAL = Duration.ofMillis(400);

    private static final String TRIAL = "a connect on trial failed";

    private final Map<ServiceId, EndpointReach> mServices = new HashMap<>();
    private final Optional<RelayDirectory> mRelays;
    private final Supplier<ImmutableList<RegisteredEndpoint>> mEndpoints;
    private final Function<Address, Uni<Boolean>> mAccepts;
    private final Supplier<Instant> mNow;
    private final Timers mTimers;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;
    private long mHandedOver;
    private long mCutCount;
    private boolean mTrialsRun;

    /**
     * Creates the controller.
     *
     * @param relays peers that take requests; empty if the deployment's settings don't provide for
     *     it, so that nothing is ever handed over
     * @param endpoints returns the registered endpoints
     * @param accepts returns whether an endpoint accepts connections, and keeps them open
     */
    public ReachController(
            Optional<RelayDirectory> relays,
            Supplier<ImmutableList<RegisteredEndpoint>> endpoints,
            Function<Address, Uni<Boolean>> accepts,
            Supplier<Instant> now,
            Timers timers,
            UniformRandomProvider random,
            EventLog events) {
        mRelays = relays;
        mEndpoints = endpoints;
        mAccepts = accepts;
        mNow = now;
        mTimers = timers;
        mRandom = random;
        mEvents = events;
    }

    /** Returns whether no endpoint of a service can be reached from here. */
    public boolean isCutFrom(ServiceId service) {
        return Optional.ofNullable(mServices.get(service))
                .flatMap(EndpointReach::cutSince)
                .isPresent();
    }

    /** Returns whether there are endpoints, and none can be reached from here. */
    public boolean isCutFromAll() {
        return cutCountNow() > 0 && mEndpoints.get().stream().allMatch(e -> isCutFrom(e.service()));
    }

    /** Returns the number of services that can't be reached from here. */
    public long cutCountNow() {
        return mServices.values().stream().filter(r -> r.cutSince().isPresent()).count();
    }

    /** Returns the peer that should get a request; empty if endpoints should be tried. */
    public Optional<Address> relay(ServiceId service) {
        return isCutFrom(service) ? mRelays.flatMap(RelayDirectory::choose) : Optional.empty();
    }

    /** Returns the peers that take requests; only if one was named before. */
    public RelayDirectory relays() {
        return mRelays.orElseThrow();
    }

    /** Returns the number of requests that were handed over since the start. */
    public long handedOverCount() {
        return mHandedOver;
    }

    /** Returns how often this daemon was cut off from a service since its start. */
    public long cutCount() {
        return mCutCount;
    }

    /** Records that a request is handed over. */
    public void recordHandedOver() {
        mHandedOver++;
    }

    /** Records an answer of an endpoint to a request that was sent to it at the given time. */
    public void recordAnswer(ServiceId service, Instant sentAt) {
        Optional.ofNullable(mServices.get(service)).ifPresent(r -> r.recordAnswer(sentAt));
    }

    /** Records an endpoint that couldn't be reached, or closed the connection without a byte. */
    public void recordUnreachable(RegisteredEndpoint endpoint, String error) {
        if (mRelays.isEmpty()) {
            return;
        }
        mRelays.get().refresh();
        Instant now = mNow.get();
        int registered = endpointsOf(endpoint.service()).size();
        EndpointReach reach =
                mServices.computeIfAbsent(endpoint.service(), s -> new EndpointReach());
        if (reach.recordUnreachable(endpoint.id(), registered, now)) {
            mCutCount++;
            mEvents.record(
                    new RelayEvent.EndpointsUnreachable(
                            endpoint.service().value(),
                            endpoint.id().value(),
                            error,
                            reach.unreachableCount(),
                            registered,
                            millisSinceCut(reach, now),
                            mRelays.get().size()));
            if (!mTrialsRun) {
                mTrialsRun = true;
                scheduleTrials();
            }
        }
    }

    private ImmutableList<RegisteredEndpoint> endpointsOf(ServiceId service) {
        return mEndpoints.get().stream()
                .filter(e -> e.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }

    private static long millisSinceCut(EndpointReach reach, Instant now) {
        return Duration.between(reach.cutSince().orElse(now), now).toMillis();
    }

    private void scheduleTrials() {
        mTimers.after(TRIAL_INTERVAL).subscribe().with(v -> startTrials());
    }

    /**
     * Connects to one endpoint of each service, also of those that aren't known to be cut off, so
     * that their callers don't have to find out.
     */
    private void startTrials() {
        mServices.keySet().retainAll(services());
        if (cutCountNow() == 0) {
            mTrialsRun = false;
            return;
        }
        mRelays.get().refresh();
        services().forEach(this::startTrial);
        scheduleTrials();
    }

    private ImmutableSet<ServiceId> services() {
        return mEndpoints.get().stream()
                .map(RegisteredEndpoint::service)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void startTrial(ServiceId service) {
        ImmutableList<RegisteredEndpoint> endpoints = endpointsOf(service);
        RegisteredEndpoint endpoint = endpoints.get(mRandom.nextInt(endpoints.size()));
        mAccepts.apply(endpoint.address())
                .subscribe()
                .with(accepted -> onTrial(endpoint, accepted, endpoints.size()));
    }

    private void onTrial(RegisteredEndpoint endpoint, boolean accepted, int registered) {
        if (!isCutFrom(endpoint.service())) {
            if (!accepted) {
                recordUnreachable(endpoint, TRIAL);
            }
            return;
        }
        EndpointReach reach = mServices.get(endpoint.service());
        long cutMillis = millisSinceCut(reach, mNow.get());
        if (reach.recordTrial(endpoint.id(), accepted, registered)) {
            mEvents.record(
                    new RelayEvent.EndpointsReachable(
                            endpoint.service().value(), cutMillis, mHandedOver));
        }
    }
}
