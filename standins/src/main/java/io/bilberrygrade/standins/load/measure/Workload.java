package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.LengthBand;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Makes the arrivals of an open-loop workload. They are a function of the settings only, so that
 * every policy is measured on the same arrivals.
 */
final class Workload {
    static final int LONG_TOKENS = 100_000;
    static final int PREFIXES = 40;
    static final int MAX_PREFIX_TOKENS = 8_192;

    private static final double LONG_PART = 0.02;
    private static final double PREFIX_PART = 0.6;
    private static final double QUICK_PART_OF_MEDIUM = 0.3;
    private static final double SHAPE = 1.2;
    private static final BoundedPareto SHORT_TOKENS = new BoundedPareto(1_000, LONG_TOKENS, SHAPE);
    private static final BoundedPareto LONGEST_TOKENS =
            new BoundedPareto(LONG_TOKENS, 1_000_000, SHAPE);
    private static final int MIN_ANSWER_TOKENS = 8;
    private static final int MAX_ANSWER_TOKENS = 32;
    private static final int OFFSETS = 1 << 20;
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
    private static final ImmutableList<Double> TEAM_PARTS =
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
        return (1 - LONG_PART) * SHORT_TOKENS.mean() + LONG_PART * LONGEST_TOKENS.mean();
    }

    /** Returns the teams that send requests. */
    static ImmutableList<TeamId> teams() {
        return TEAMS.stream().map(TeamId::new).collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Arrival> generate() {
        double perSecond = mSettings.load() * mSettings.capacity() / meanTokens();
        ImmutableList.Builder<Arrival> arrivals = ImmutableList.builder();
        double seconds = exponential(perSecond);
        int index = 0;
        while (seconds < mSettings.duration().toMillis() / 1e3) {
            arrivals.add(next(index, seconds));
            index++;
            seconds += exponential(perSecond);
        }
        return arrivals.build();
    }

    private Arrival next(int index, double seconds) {
        boolean isLong = mRandom.nextDouble() < LONG_PART;
        int tokens = (int) (isLong ? LONGEST_TOKENS : SHORT_TOKENS).sample(mRandom);
        WorkKind kind = kind(tokens, mRandom.nextDouble());
        int team = team(mRandom.nextDouble());
        int prefix = prefix(team);
        boolean shares = mRandom.nextDouble() < PREFIX_PART;
        int prefixTokens = shares ? Math.min(MAX_PREFIX_TOKENS, tokens / 2) : 0;
        return new Arrival(
                index,
                Duration.ofNanos(Math.round(seconds * 1e9)),
                new TeamId(TEAMS.get(team)),
                new WorkClassId(kind.mId),
                tokens,
                prefix,
                prefixTokens,
                mRandom.nextInt(OFFSETS),
                MIN_ANSWER_TOKENS + mRandom.nextInt(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS),
                kind.mTimeout,
                kind.mMeanWorth * exponential(1));
    }

    /** A team has a few prefixes, the first of them the most used. */
    private int prefix(int team) {
        int perTeam = PREFIXES / TEAMS.size();
        int rank = (int) (perTeam * Math.pow(mRandom.nextDouble(), 2));
        return team * perTeam + rank;
    }

    private double exponential(double rate) {
        return -Math.log(1 - mRandom.nextDouble()) / rate;
    }

    private static int team(double uniform) {
        double left = uniform;
        for (int i = 0; i < TEAM_PARTS.size(); i++) {
            left -= TEAM_PARTS.get(i);
            if (left < 0) {
                return i;
            }
        }
        return TEAM_PARTS.size() - 1;
    }

    private static WorkKind kind(int tokens, double uniform) {
        return switch (LengthBand.of(tokens)) {
            case UP_TO_4K -> WorkKind.QUICK_QUESTION;
            case UP_TO_32K ->
                    uniform < QUICK_PART_OF_MEDIUM
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
