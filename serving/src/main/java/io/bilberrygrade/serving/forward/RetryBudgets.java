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
    private final IntSupplier mFleetPeak;
    private final Map<ServiceId, RetryBudget> mByService = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param fleetSize supplies the number of daemons that are known now
     * @param fleetPeak supplies the largest recent number of daemons, as some of them may run out
     *     of reach and use their parts
     */
    RetryBudgets(ForwardSettings settings, IntSupplier fleetSize, IntSupplier fleetPeak) {
        mSettings = settings;
        mFleetSize = fleetSize;
        mFleetPeak = fleetPeak;
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

    private double slack() {
        int known = ASSUMED_DAEMONS_PER_KNOWN * mFleetSize.getAsInt();
        int daemons = Math.max(known, mFleetPeak.getAsInt());
        return mSettings.repeatSlack() / Math.max(MIN_ASSUMED_DAEMONS, daemons);
    }
}
