package io.bilberrygrade.standins.load;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;

/** Where the demo sends its requests, and how it names class, model and operation. */
public record DemoSettings(
        ImmutableList<Address> entries,
        ImmutableList<Address> serviceControls,
        String credential,
        ImmutableList<String> classes,
        String model,
        String service,
        String operation,
        boolean allowUnknown) {}
