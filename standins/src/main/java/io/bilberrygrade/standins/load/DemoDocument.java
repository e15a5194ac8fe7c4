package io.bilberrygrade.standins.load;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import java.util.List;

/** Content of an example's {@code demo.yaml}. */
record DemoDocument(
        String credential,
        List<String> classes,
        String model,
        String service,
        String operation,
        List<String> entries,
        List<String> serviceControls) {

    DemoSettings toSettings(boolean allowUnknown) {
        return new DemoSettings(
                addresses(entries),
                addresses(serviceControls),
                credential,
                ImmutableList.copyOf(classes),
                model,
                service,
                operation,
                allowUnknown);
    }

    private static ImmutableList<Address> addresses(List<String> texts) {
        return texts.stream().map(Address::parse).collect(ImmutableList.toImmutableList());
    }
}
