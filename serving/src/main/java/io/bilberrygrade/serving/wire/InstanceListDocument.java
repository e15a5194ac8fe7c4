package io.bilberrygrade.serving.wire;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The platform's list of instances, which may be out of date. */
public record InstanceListDocument(long version, List<InstanceDocument> instances) {
    /** Returns the list without the instances whose address isn't one. */
    public InstanceListDocument withAddressesOnly() {
        return new InstanceListDocument(
                version,
                instances.stream()
                        .filter(i -> i.address().isPresent())
                        .collect(ImmutableList.toImmutableList()));
    }
}
