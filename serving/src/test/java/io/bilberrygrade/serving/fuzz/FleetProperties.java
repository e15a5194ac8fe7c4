package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/** Checks the invariants under random faults, with fixed seeds and a bounded number of tries. */
final class FleetProperties {
    private static final long FLEET_SEED = 7;

    @Property(tries = 150, seed = "20261204")
    void holdsInvariants(@ForAll("chains") ActionChain<Fleet> chain) {
        chain.withInvariant(Fleet::verify).run().finish();
    }

    @Provide
    Arbitrary<ActionChain<Fleet>> chains() {
        return Arbitraries.of(FLEET_SEED, FLEET_SEED + 1)
                .flatMap(seed -> FaultSteps.chains(seed, ImmutableSet.of()));
    }
}
