package io.bilberrygrade.core.share;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.TeamId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Demand of the teams for one class of work at one daemon. */
public final class ClassDemand {
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 1;

    private final Map<TeamId, TokenRate> mRates = new HashMap<>();

    /** Creates an empty demand. */
    public ClassDemand() {}

    /** Records a request that arrived, with the tokens of its prompt that need prefill. */
    public void recordArrival(TeamId team, long tokens, Instant now) {
        mRates.merge(
                team,
                TokenRate.none(now).plus(tokens, now),
                (rate, added) -> rate.plus(tokens, now));
    }

    /** Returns the demand of all teams, in tokens per second. */
    public double tokensPerSecond(Instant now) {
        mRates.values().removeIf(r -> r.tokensPerSecond(now) < NEGLIGIBLE_TOKENS_PER_SECOND);
        return mRates.values().stream().mapToDouble(r -> r.tokensPerSecond(now)).sum();
    }

    /**
     * Returns the fraction, from 0 to 1, of a team's demand that is granted when the class is
     * granted the fraction {@code granted} of its demand and the teams share it max-min fairly.
     */
    public double fairFraction(TeamId team, double granted, Instant now) {
        ImmutableList<Double> demands =
                mRates.values().stream()
                        .map(r -> r.tokensPerSecond(now))
                        .collect(ImmutableList.toImmutableList());
        double level = MaxMinLevel.of(demands, granted * tokensPerSecond(now));
        double own = mRates.getOrDefault(team, TokenRate.none(now)).tokensPerSecond(now);
        return own <= level ? 1 : level / own;
    }
}
