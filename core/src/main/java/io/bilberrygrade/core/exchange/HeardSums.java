package io.bilberrygrade.core.exchange;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sums of all daemons' work as one daemon last heard them. They count in what it had said itself
 * when it asked, which is taken off again to know the work of the others.
 */
public final class HeardSums {
    /** Age at which the sums say nothing any more; short prompts last about this long. */
    private static final Duration LIFETIME = Duration.ofSeconds(2);

    private final Map<EndpointId, EndpointWork> mSums = new HashMap<>();
    private ImmutableMap<EndpointId, EndpointWork> mStated = ImmutableMap.of();
    private Optional<FleetMember> mSource = Optional.empty();
    private long mVersion;
    private Instant mHeardAt = Instant.MIN;

    /** Returns the version up to which the sums of the given member are known; 0 if none are. */
    public long version(FleetMember source) {
        return mSource.filter(source::equals).isPresent() ? mVersion : 0;
    }

    /**
     * Takes an update over.
     *
     * @param asked version that the member was asked with
     * @param stated what this daemon said of its own work when it asked
     */
    public void heard(
            FleetMember source,
            long asked,
            WorkSums.Update update,
            ImmutableMap<EndpointId, EndpointWork> stated,
            Instant now) {
        if (!update.whole() && asked != version(source)) {
            return;
        }
        if (update.whole()) {
            mSums.clear();
        }
        update.sums().forEach(this::put);
        mSource = Optional.of(source);
        mVersion = update.version();
        mStated = stated;
        mHeardAt = now;
    }

    private void put(EndpointId endpoint, EndpointWork sum) {
        if (sum.equals(EndpointWork.NONE)) {
            mSums.remove(endpoint);
        } else {
            mSums.put(endpoint, sum);
        }
    }

    /** Returns the work that other daemons have at an endpoint; none if it was heard long ago. */
    public EndpointWork others(EndpointId endpoint, Instant now) {
        if (!mHeardAt.plus(LIFETIME).isAfter(now)) {
            return EndpointWork.NONE;
        }
        EndpointWork sum = mSums.getOrDefault(endpoint, EndpointWork.NONE);
        EndpointWork own = mStated.get(endpoint);
        return own == null ? sum : sum.plus(own.negated());
    }

    /** Returns the time since the sums were heard; empty if they never were. */
    public Optional<Duration> age(Instant now) {
        return mHeardAt.equals(Instant.MIN)
                ? Optional.empty()
                : Optional.of(Duration.between(mHeardAt, now));
    }
}
