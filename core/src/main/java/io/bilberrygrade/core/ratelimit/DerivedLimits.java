package io.bilberrygrade.core.ratelimit;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.EndpointRun;
import java.util.OptionalDouble;

/** Rate limits that follow from the state of endpoints, besides those that they state. */
public interface DerivedLimits {
    /** No limits. */
    DerivedLimits NONE =
            new DerivedLimits() {
                @Override
                public OptionalDouble grantRate(EndpointRun run) {
                    return OptionalDouble.empty();
                }

                @Override
                public ImmutableList<EndpointRun> runs() {
                    return ImmutableList.of();
                }
            };

    /** Returns the permits a second that may be granted for a run now; empty without a limit. */
    OptionalDouble grantRate(EndpointRun run);

    /** Returns the runs with a limit now. */
    ImmutableList<EndpointRun> runs();
}
