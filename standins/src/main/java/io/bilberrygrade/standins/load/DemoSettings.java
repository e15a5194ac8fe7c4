package io.bilberrygrade.standins.load;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;

/** Entry daemons that the demo calls, and the credential and names that its requests use. */
public record DemoSettings(
        ImmutableList<Address> entries,
        ImmutableList<Address> serviceControls,
        String credential,
        ImmutableList<String> classes,
        String model,
        String service,
        String operation,
        boolean allowUnknown) {}
