package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class TeamSharesTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    private final RecentRequests mRecent = new RecentRequests();

    private static ServiceRequest request(String team, int rank, double slotMillis) {
        return new ServiceRequest(
                new Rank(rank),
                "k",
                Optional.of(new TeamId(team)),
                1,
                0,
                slotMillis,
                Duration.ofMillis(400),
                Duration.ofSeconds(8));
    }

    private void add(int count, String team, double slotMillis, boolean admitted) {
        for (int i = 0; i < count; i++) {
            mRecent.add(request(team, 1, slotMillis), admitted, NOW);
        }
    }

    private boolean isOver(String team) {
        return TeamShares.isOver(request(team, 1, 1), mRecent);
    }

    // Guards against shares by count: few large requests take more than many small ones.
    @Test
    void teamIsHeldToItsShareByCost() {
        add(10, "large", 4_000, true);
        add(20, "small", 500, true);
        add(20, "small", 500, false);
        assertThat(isOver("large")).isTrue();
        assertThat(isOver("small")).isFalse();
    }

    // Guards against a team that is held back although the others have what they ask for.
    @Test
    void unusedShareIsNotKept() {
        add(40, "large", 4_000, true);
        add(40, "large", 4_000, false);
        add(20, "small", 500, true);
        assertThat(isOver("large")).isFalse();
    }

    // Guards against a team that pays for what it sends at another rank, or is judged on a few.
    @Test
    void onlyRequestsOfTheSameRankCount() {
        add(10, "large", 4_000, true);
        add(20, "small", 500, false);
        assertThat(TeamShares.isOver(request("large", 2, 1), mRecent)).isFalse();
        RecentRequests few = new RecentRequests();
        few.add(request("large", 1, 4_000), true, NOW);
        few.add(request("small", 1, 500), false, NOW);
        assertThat(TeamShares.isOver(request("large", 1, 1), few)).isFalse();
    }
}
