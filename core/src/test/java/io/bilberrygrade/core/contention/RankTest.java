package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RankTest {
    // Guards against a route's rank that overrides the one of the team.
    @Test
    void rankOfTeamTakesPrecedence() {
        Optional<Rank> team = Optional.of(new Rank(2));
        Optional<Rank> route = Optional.of(new Rank(1));
        assertThat(Rank.of(team, route)).isEqualTo(new Rank(2));
        assertThat(Rank.of(Optional.empty(), route)).isEqualTo(new Rank(1));
        assertThat(Rank.of(Optional.empty(), Optional.empty())).isEqualTo(Rank.HIGHEST);
    }
}
