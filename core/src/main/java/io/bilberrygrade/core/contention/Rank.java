package io.bilberrygrade.core.contention;

import java.util.Optional;

/**
 * Published importance of a request; 0 is the highest.
 *
 * @param level distance from the highest rank
 */
public record Rank(int level) implements Comparable<Rank> {
    /** The highest rank, which requests have if neither their team nor their route states one. */
    public static final Rank HIGHEST = new Rank(0);

    /** Returns the rank of a request: that of its team, otherwise that of its route. */
    public static Rank of(Optional<Rank> team, Optional<Rank> route) {
        return team.or(() -> route).orElse(HIGHEST);
    }

    @Override
    public int compareTo(Rank other) {
        return Integer.compare(level, other.level);
    }
}
