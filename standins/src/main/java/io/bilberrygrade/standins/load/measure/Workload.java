package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.LengthBand;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the arrivals of an open-loop workload. They depend only on the settings, so that every
 * policy is measured on the same arrivals.
 */
final class Workload {
    static final int LONG_TOKENS = 100_000;
    static final int PREFIXES = 40;
    static final int MAX_PREFIX_TOKENS = 8_192;

    private static final double LONG_FRACTION = 0.02;
    private static final double SHARED_PREFIX_FRACTION = 0.6;
    private static final double QUICK_FRACTION_OF_MEDIUM = 0.3;
    private static final double SHAPE = 1.2;
    private static final BoundedPareto SHORT_PROMPT_TOKENS =
            new BoundedPareto(1_000, LONG_TOKENS, SHAPE);
    private static final BoundedPareto LONG_PROMPT_TOKENS =
            new BoundedPareto(LONG_TOKENS, 1_000_000, SHAPE);
    private static final int MIN_ANSWER_TOKENS = 8;
    private static final int MAX_ANSWER_TOKENS = 32;
    private static final int TEXT_OFFSETS = 1 << 20;
    private static final ImmutableList<String> TEAMS =
            ImmutableList.of(
                    "mcallen-agents",
                    "brownsville-agents",
                    "family-texts",
                    "caseworkers",
                    "laredo-agents",
                    "harlingen-agents",
                    "edinburg-agents",
                    "mission-agents",
                    "pharr-agents",
                    "weslaco-agents");
    private static final ImmutableList<Double> TEAM_FRACTIONS =
            ImmutableList.of(0.30, 0.22, 0.14, 0.10, 0.04, 0.04, 0.04, 0.04, 0.04, 0.04);

    private final WorkloadSettings mSettings;
    private final UniformRandomProvider mRandom;

    private Workload(WorkloadSettings settings) {
        mSettings = settings;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
    }

    /** Returns the arrivals in order of time. */
    static ImmutableList<Arrival> arrivals(WorkloadSettings settings) {
        return new Workload(settings).generate();
    }

    /** Returns the mean length of a prompt in tokens. */
    static double meanTokens() {
        return (1 - LONG_FRACTION) * SHORT_PROMPT_TOKENS.mean()
                + LONG_FRACTION * LONG_PROMPT_TOKENS.mean();
    }

    /** Returns the teams that send requests. */
    static ImmutableList<TeamId> teams() {
        return TEAMS.stream().map(TeamId::new).collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Arrival> generate() {
        double perSecond = mSettings.load() * mSettings.capacity() / meanTokens();
        ImmutableList.Builder<Arrival> arrivals = ImmutableList.builder();
        double seconds = drawExponential(perSecond);
        int index = 0;
        while (seconds < mSettings.duration().toMillis() / 1e3) {
            arrivals.add(next(index, seconds));
            index++;
            seconds += drawExponential(perSecond);
        }
        return arrivals.build();
    }

    private Arrival next(int index, double seconds) {
        boolean isLong = mRandom.nextDouble() < LONG_FRACTION;
        int tokens = (int) (isLong ? LONG_PROMPT_TOKENS : SHORT_PROMPT_TOKENS).sample(mRandom);
        WorkKind kind = workKind(tokens, mRandom.nextDouble());
        int team = teamAtQuantile(mRandom.nextDouble());
        int prefix = drawPrefix(team);
        boolean sharesPrefix = mRandom.nextDouble() < SHARED_PREFIX_FRACTION;
        int prefixTokens = sharesPrefix ? Math.min(MAX_PREFIX_TOKENS, tokens / 2) : 0;
        return new Arrival(
                index,
                Duration.ofNanos(Math.round(seconds * 1e9)),
                new TeamId(TEAMS.get(team)),
                new WorkClassId(kind.mId),
                tokens,
                prefix,
                prefixTokens,
                mRandom.nextInt(TEXT_OFFSETS),
                MIN_ANSWER_TOKENS + mRandom.nextInt(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS),
                kind.mTimeout,
                kind.mMeanWorth * drawExponential(1));
    }

    /** Draws one of a team's prefixes; the first is used most often. */
    private int drawPrefix(int team) {
        int perTeam = PREFIXES / TEAMS.size();
        int rank = (int) (perTeam * Math.pow(mRandom.nextDouble(), 2));
        return team * perTeam + rank;
    }

    private double drawExponential(double rate) {
        return -Math.log(1 - mRandom.nextDouble()) / rate;
    }

    private static int teamAtQuantile(double quantile) {
        double remaining = quantile;
        for (int i = 0; i < TEAM_FRACTIONS.size(); i++) {
            remaining -= TEAM_FRACTIONS.get(i);
            if (remaining < 0) {
                return i;
            }
        }
        return TEAM_FRACTIONS.size() - 1;
    }

    private static WorkKind workKind(int tokens, double quantile) {
        return switch (LengthBand.of(tokens)) {
            case UP_TO_4K -> WorkKind.QUICK_QUESTION;
            case UP_TO_32K ->
                    quantile < QUICK_FRACTION_OF_MEDIUM
                            ? WorkKind.QUICK_QUESTION
                            : WorkKind.HISTORY_REVIEW;
            case UP_TO_100K -> WorkKind.HISTORY_REVIEW;
            case UP_TO_400K, OVER_400K -> WorkKind.YEARLY_AUDIT;
        };
    }

    private enum WorkKind {
        QUICK_QUESTION("quick-question", Duration.ofSeconds(5), 1),
        HISTORY_REVIEW("history-review", Duration.ofSeconds(12), 2),
        YEARLY_AUDIT("yearly-audit", Duration.ofSeconds(60), 10);

        private final String mId;
        private final Duration mTimeout;
        private final double mMeanWorth;

        WorkKind(String id, Duration timeout, double meanWorth) {
            mId = id;
            mTimeout = timeout;
            mMeanWorth = meanWorth;
        }
    }
}
