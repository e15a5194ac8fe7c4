package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Identifier;
import io.bilberrygrade.serving.peer.AggregatorEntry;
import io.bilberrygrade.serving.peer.LeavingRunEntry;
import io.bilberrygrade.serving.peer.WorkEntry;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Converts between the messages that daemons exchange and the domain types. Skips entries of a
 * peer's message that are malformed, so that the others in it are applied.
 */
final class WorkCodec {
    private WorkCodec() {}

    static ImmutableList<WorkEntry> entries(ImmutableMap<EndpointId, EndpointWork> work) {
        ImmutableList.Builder<WorkEntry> entries =
                ImmutableList.builderWithExpectedSize(work.size());
        work.forEach(
                (id, w) ->
                        entries.add(
                                new WorkEntry(
                                        id.value(),
                                        w.calls(),
                                        w.readMillis(),
                                        w.writers(),
                                        w.strictCalls(),
                                        w.tokens())));
        return entries.build();
    }

    static ImmutableMap<EndpointId, EndpointWork> work(List<WorkEntry> entries) {
        ImmutableMap.Builder<EndpointId, EndpointWork> work = ImmutableMap.builder();
        entries.stream()
                .filter(Objects::nonNull)
                .forEach(e -> endpoint(e.endpoint()).ifPresent(id -> work.put(id, work(e))));
        return work.buildKeepingLast();
    }

    private static EndpointWork work(WorkEntry e) {
        return new EndpointWork(
                e.calls(), e.readMillis(), e.writers(), e.strictCalls(), e.tokens());
    }

    private static Optional<EndpointId> endpoint(String text) {
        return Identifier.tryCreate(text, EndpointId::new);
    }

    static ImmutableList<AggregatorEntry> fleet(ImmutableList<FleetMember> members) {
        return members.stream()
                .map(m -> new AggregatorEntry(m.address().toString(), m.startedAtMillis()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the members whose addresses can be parsed. */
    static ImmutableList<FleetMember> members(List<AggregatorEntry> entries) {
        return entries.stream()
                .filter(Objects::nonNull)
                .flatMap(e -> member(e.address(), e.startedAtMillis()).stream())
                .collect(ImmutableList.toImmutableList());
    }

    static Optional<FleetMember> member(String address, long startedAtMillis) {
        return Address.tryParseRemote(address).map(a -> new FleetMember(a, startedAtMillis));
    }

    static ImmutableList<LeavingRunEntry> leaving(Collection<EndpointRun> runs) {
        return runs.stream()
                .map(r -> new LeavingRunEntry(r.id().value(), r.startedAtMillis()))
                .collect(ImmutableList.toImmutableList());
    }

    static ImmutableList<EndpointRun> runs(List<LeavingRunEntry> entries) {
        return entries.stream()
                .filter(Objects::nonNull)
                .flatMap(
                        e ->
                                endpoint(e.endpoint())
                                        .map(id -> new EndpointRun(id, e.startedAtMillis()))
                                        .stream())
                .collect(ImmutableList.toImmutableList());
    }
}
