package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.identity.TeamId;
import java.util.Optional;

/**
 * API keys of one configuration version and the teams that they belong to.
 *
 * @param ranks importance of the teams' requests, for the teams that state it
 */
public record KeyRing(
        boolean required, ImmutableMap<String, TeamId> teams, ImmutableMap<TeamId, Rank> ranks) {
    /** Creates keys of teams that state no rank. */
    public KeyRing(boolean required, ImmutableMap<String, TeamId> teams) {
        this(required, teams, ImmutableMap.of());
    }

    /** Returns the team that a key belongs to. */
    public Optional<TeamId> team(String key) {
        return Optional.ofNullable(teams.get(key));
    }

    /** Returns the rank that a team states. */
    public Optional<Rank> rank(TeamId team) {
        return Optional.ofNullable(ranks.get(team));
    }
}
