package io.bilberrygrade.core.exchange;

import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import io.bilberrygrade.core.contention.StrictStreamTrend;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.StrictStreamEngines;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Latest sums of all daemons' work that one daemon has received. The sums include the work that
 * this daemon had reported when it requested them; subtracting it gives the work of the other
 * daemons.
 */
public final class ReceivedSums {
    /** Age at which the sums are discarded; about as long as a short prompt takes. */
    private static final Duration LIFETIME = Duration.ofSeconds(2);

    private final Map<EndpointId, EndpointWork> mSums = new HashMap<>();
    private ImmutableMap<EndpointId, EndpointWork> mOwnAtRequest = ImmutableMap.of();
    private Optional<FleetMember> mSource = Optional.empty();
    private long mVersion;
    private Instant mReceivedAt = Instant.MIN;
    private Optional<StrictStreamTrend> mTrend = Optional.empty();

    /**
     * Returns the version of the sums received from the given member; 0 if there are none from it.
     */
    public long version(FleetMember source) {
        return mSource.filter(source::equals).isPresent() ? mVersion : 0;
    }

    /**
     * Applies an update; ignores a delta that is based on another version than the current one.
     *
     * @param requestedVersion version that was sent to the member in the request
     * @param ownAtRequest work that this daemon reported in the request
     */
    public void apply(
            FleetMember source,
            long requestedVersion,
            WorkSums.Update update,
            ImmutableMap<EndpointId, EndpointWork> ownAtRequest,
            Instant now) {
        if (!update.whole() && requestedVersion != version(source)) {
            return;
        }
        if (update.whole()) {
            mSums.clear();
        }
        update.sums().forEach(this::put);
        mSource = Optional.of(source);
        mVersion = update.version();
        mOwnAtRequest = ownAtRequest;
        mReceivedAt = now;
        int streams =
                Ints.saturatedCast(
                        mSums.values().stream().mapToLong(EndpointWork::strictCalls).sum());
        int prefilling =
                (int)
                        mSums.values().stream()
                                .filter(
                                        w ->
                                                w.readMillis()
                                                        > StrictStreamEngines.MAX_PREFILL_MILLIS)
                                .count();
        mTrend =
                Optional.of(
                        mTrend.map(t -> t.next(streams, prefilling, now))
                                .orElseGet(
                                        () -> StrictStreamTrend.first(streams, prefilling, now)));
    }

    /** Returns the trend of the strict streams; empty if there are no sums that may still hold. */
    public Optional<StrictStreamTrend> strictStreamTrend(Instant now) {
        return mTrend.filter(t -> mReceivedAt.plus(LIFETIME).isAfter(now));
    }

    private void put(EndpointId endpoint, EndpointWork sum) {
        if (sum.equals(EndpointWork.NONE)) {
            mSums.remove(endpoint);
        } else {
            mSums.put(endpoint, sum);
        }
    }

    /** Returns the work that other daemons have at an endpoint; none if the sums are too old. */
    public EndpointWork others(EndpointId endpoint, Instant now) {
        if (!mReceivedAt.plus(LIFETIME).isAfter(now)) {
            return EndpointWork.NONE;
        }
        EndpointWork sum = mSums.getOrDefault(endpoint, EndpointWork.NONE);
        EndpointWork own = mOwnAtRequest.get(endpoint);
        return own == null ? sum : sum.plus(own.negated());
    }

    /** Returns the time since the last update; empty if there was none. */
    public Optional<Duration> age(Instant now) {
        return mReceivedAt.equals(Instant.MIN)
                ? Optional.empty()
                : Optional.of(Duration.between(mReceivedAt, now));
    }
}
