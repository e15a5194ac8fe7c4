package io.bilberrygrade.core.gang;

import static io.bilberrygrade.core.routing.FakeFleet.START;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.FakeFleet;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GangPlannerTest {
    private static final int ANSWER_TOKENS = 100;

    /** Three engines of 400,000 tokens in each of three data centres. */
    private final FakeFleet mFleet = new FakeFleet(9);

    @ParameterizedTest
    @CsvSource({
        "399900, false, true, 1",
        "399901, true, true, 2",
        "799900, true, true, 2",
        "900000, true, true, 3",
        "1199900, true, true, 3",
        "1199901, true, false, 0"
    })
    void usesFewestEnginesOfOneDataCentre(
            int tokens, boolean isGangNeeded, boolean fits, int engines) {
        Prompt prompt = prompt(tokens);
        assertThat(GangPlanner.isGangNeeded(prompt, mFleet)).isEqualTo(isGangNeeded);
        assertThat(GangPlanner.fits(prompt, mFleet.engines())).isEqualTo(fits);
        Optional<GangPlan> plan = plan(prompt, ImmutableSet.of());
        assertThat(plan.map(p -> p.segments().size()).orElse(0)).isEqualTo(engines);
        plan.ifPresent(p -> assertValid(p, prompt));
    }

    @Test
    void excludesBusyAndEjectedEngines() {
        Prompt prompt = prompt(900_000);
        assertThat(plan(prompt, ImmutableSet.of(id(0), id(1), id(2)))).isEmpty();
        assertThat(plan(prompt, ImmutableSet.of(id(0), id(1))))
                .hasValueSatisfying(p -> assertThat(p.engines()).contains(id(2), id(5), id(8)));
        mFleet.set(mFleet.engines().get(8), 0, 0, false);
        assertThat(plan(prompt, ImmutableSet.of(id(0), id(1)))).isEmpty();
    }

    @Test
    void prefersTheDataCentreThatIsReadyFirst() {
        for (int i = 0; i < 9; i++) {
            mFleet.set(mFleet.engines().get(i), 0, i % 3 == 1 ? 0 : 5_000_000, true);
        }
        assertThat(plan(prompt(900_000), ImmutableSet.of()))
                .hasValueSatisfying(p -> assertThat(p.dataCentre().value()).isEqualTo("dc-1"));
    }

    private static void assertValid(GangPlan plan, Prompt prompt) {
        long next = 0;
        for (GangSegment segment : plan.segments()) {
            assertThat(segment.from()).isEqualTo(next);
            assertThat(segment.reservedTokens()).isLessThanOrEqualTo(FakeFleet.MEMORY_TOKENS);
            assertThat(segment.engine().endpoint().dataCentre()).isEqualTo(plan.dataCentre());
            next = segment.to();
        }
        assertThat(next).isEqualTo(prompt.tokens());
        assertThat(plan.last().reservedTokens()).isEqualTo(plan.last().tokens() + ANSWER_TOKENS);
        assertThat(plan.engines()).hasSameSizeAs(plan.segments());
    }

    private Optional<GangPlan> plan(Prompt prompt, ImmutableSet<EndpointId> busy) {
        ImmutableList<EndpointView> views =
                mFleet.engines().stream()
                        .map(e -> mFleet.view(e, START))
                        .collect(ImmutableList.toImmutableList());
        return GangPlanner.plan(prompt, views, mFleet.layout().lanes(), busy);
    }

    private EndpointId id(int engine) {
        return mFleet.engines().get(engine).id();
    }

    private static Prompt prompt(int tokens) {
        return new Prompt(tokens, ANSWER_TOKENS, ImmutableLongArray.of());
    }
}
