package io.bilberrygrade.core.share;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.TeamId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** What the teams ask for of one class at one daemon. */
public final class ClassDemand {
    private static final double NEGLIGIBLE = 1;

    private final Map<TeamId, TokenRate> mTeams = new HashMap<>();

    /** Creates a demand of nothing. */
    public ClassDemand() {}

    /** Takes note of a request that arrived, with the tokens of its prompt that need prefill. */
    public void arrived(TeamId team, long tokens, Instant now) {
        mTeams.merge(
                team,
                TokenRate.none(now).plus(tokens, now),
                (known, added) -> known.plus(tokens, now));
    }

    /** Returns what all teams ask for, in tokens a second. */
    public double tokensPerSecond(Instant now) {
        mTeams.values().removeIf(r -> r.tokensPerSecond(now) < NEGLIGIBLE);
        return mTeams.values().stream().mapToDouble(r -> r.tokensPerSecond(now)).sum();
    }

    /**
     * Returns the part, from 0 to 1, of a team's demand that it gets when the class gets the part
     * {@code granted} of its demand and the teams share that max-min fairly.
     */
    public double fairPart(TeamId team, double granted, Instant now) {
        ImmutableList<Double> demands =
                mTeams.values().stream()
                        .map(r -> r.tokensPerSecond(now))
                        .collect(ImmutableList.toImmutableList());
        double level = MaxMinLevel.of(demands, granted * tokensPerSecond(now));
        double own = mTeams.getOrDefault(team, TokenRate.none(now)).tokensPerSecond(now);
        return own <= level ? 1 : level / own;
    }
}
