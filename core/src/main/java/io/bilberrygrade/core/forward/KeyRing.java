package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.TeamId;
import java.util.Optional;

/** API keys of one configuration version and the teams that they belong to. */
public record KeyRing(boolean required, ImmutableMap<String, TeamId> teams) {
    /** Returns the team that a key belongs to. */
    public Optional<TeamId> team(String key) {
        return Optional.ofNullable(teams.get(key));
    }
}
