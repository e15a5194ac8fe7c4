package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.admission.RetryBudget;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** The retry budgets of the services. */
final class RetryBudgets {
    /** Least number of daemons among which the fleet's slack is divided, before peers are known. */
    private static final int MIN_ASSUMED_DAEMONS = 13;

    /** Daemons assumed for each known one; others may have been added or be partitioned. */
    private static final int ASSUMED_DAEMONS_PER_KNOWN = 2;

    /**
     * Fraction of the ratio that is used, since other daemons' requests are counted with a delay.
     */
    private static final double USABLE_RATIO_FRACTION = 0.9;

    private final ForwardSettings mSettings;
    private final IntSupplier mFleetSize;
    private final Map<ServiceId, RetryBudget> mByService = new HashMap<>();

    RetryBudgets(ForwardSettings settings, IntSupplier fleetSize) {
        mSettings = settings;
        mFleetSize = fleetSize;
    }

    /** Returns the budget of a service. */
    RetryBudget of(ServiceId service) {
        return mByService.computeIfAbsent(
                service,
                s ->
                        new RetryBudget(
                                mSettings.repeatRatio() * USABLE_RATIO_FRACTION,
                                this::slack,
                                mSettings.repeatWindow()));
    }

    private int slack() {
        int daemons = ASSUMED_DAEMONS_PER_KNOWN * mFleetSize.getAsInt();
        return mSettings.repeatSlack() / Math.max(MIN_ASSUMED_DAEMONS, daemons);
    }
}
