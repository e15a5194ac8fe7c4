package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Finds out whether an endpoint that closed a connection has crashed: then it refuses new
 * connections too, whereas one that only broke off an answer accepts them. While this daemon is cut
 * off from all endpoints of a service, a refusal shows nothing.
 */
final class CrashDetector {
    /**
     * Time until the second probe; a process that ends may close its connections before its port.
     */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(50);

    private final QuarantineController mQuarantine;
    private final Function<Address, Uni<Boolean>> mRefusesConnections;
    private final Predicate<ServiceId> mCutFrom;
    private final Clocks mClocks;
    private final Timers mTimers;
    private final Map<EndpointRun, Probe> mProbes = new HashMap<>();

    CrashDetector(
            QuarantineController quarantine,
            Function<Address, Uni<Boolean>> refusesConnections,
            Predicate<ServiceId> cutFrom,
            Clocks clocks,
            Timers timers) {
        mQuarantine = quarantine;
        mRefusesConnections = refusesConnections;
        mCutFrom = cutFrom;
        mClocks = clocks;
        mTimers = timers;
    }

    /**
     * Considers an attempt whose connection the endpoint closed before it had sent any content.
     * Returns whether the endpoint has crashed.
     *
     * @param begun whether the answer had begun
     */
    Uni<Boolean> onConnectionClosed(
            RegisteredEndpoint endpoint, ImmutableSet<Suspect> suspects, boolean begun) {
        EndpointRun run = endpoint.run();
        if (mQuarantine.evidence().find(run, mClocks.now()).isPresent()) {
            record(run, begun ? suspects : ImmutableSet.of(), begun ? ImmutableSet.of() : suspects);
            return Uni.createFrom().item(true);
        }
        Probe probe = mProbes.computeIfAbsent(run, r -> start(endpoint));
        probe.add(suspects, begun);
        return probe.mResult;
    }

    private Probe start(RegisteredEndpoint endpoint) {
        Uni<Boolean> first = mRefusesConnections.apply(endpoint.address());
        Uni<Boolean> second =
                mTimers.after(PROBE_INTERVAL)
                        .chain(() -> mRefusesConnections.apply(endpoint.address()));
        return new Probe(
                first.chain(refused -> refused ? Uni.createFrom().item(true) : second)
                        .map(refused -> refused && !mCutFrom.test(endpoint.service()))
                        .onItem()
                        .invoke(crashed -> finish(endpoint.run(), crashed))
                        .memoize()
                        .indefinitely());
    }

    private void finish(EndpointRun run, boolean crashed) {
        Probe probe = mProbes.remove(run);
        if (crashed && probe != null) {
            record(run, probe.mBegun, probe.mWaiting);
        }
    }

    private void record(
            EndpointRun run, ImmutableSet<Suspect> begun, ImmutableSet<Suspect> waiting) {
        Instant now = mClocks.now();
        mQuarantine.recordCrash(new CrashRecord(run, now, begun, waiting, ImmutableSet.of()), now);
    }

    private static final class Probe {
        private final Uni<Boolean> mResult;
        private ImmutableSet<Suspect> mBegun = ImmutableSet.of();
        private ImmutableSet<Suspect> mWaiting = ImmutableSet.of();

        Probe(Uni<Boolean> result) {
            mResult = result;
        }

        void add(ImmutableSet<Suspect> suspects, boolean begun) {
            if (begun) {
                mBegun = Sets.union(mBegun, suspects).immutableCopy();
            } else {
                mWaiting = Sets.union(mWaiting, suspects).immutableCopy();
            }
        }
    }
}
