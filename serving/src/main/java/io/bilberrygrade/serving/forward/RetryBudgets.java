package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.admission.RetryBudget;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** The retry budget of each service. */
final class RetryBudgets {
    /** Daemons among which the fleet's slack is divided at least, before peers are known. */
    private static final int LEAST_DAEMONS = 13;

    /** Daemons for each one that is known; others may have been added or be cut off. */
    private static final int DAEMONS_PER_KNOWN = 2;

    /** Part of the ratio that is used, since other daemons' requests are counted a little later. */
    private static final double USED_RATIO = 0.9;

    private final ForwardSettings mSettings;
    private final IntSupplier mFleet;
    private final Map<ServiceId, RetryBudget> mByService = new HashMap<>();

    RetryBudgets(ForwardSettings settings, IntSupplier fleet) {
        mSettings = settings;
        mFleet = fleet;
    }

    /** Returns the budget of a service. */
    RetryBudget of(ServiceId service) {
        return mByService.computeIfAbsent(
                service,
                s ->
                        new RetryBudget(
                                mSettings.repeatRatio() * USED_RATIO,
                                this::slack,
                                mSettings.repeatWindow()));
    }

    private int slack() {
        int daemons = DAEMONS_PER_KNOWN * mFleet.getAsInt();
        return mSettings.repeatSlack() / Math.max(LEAST_DAEMONS, daemons);
    }
}
