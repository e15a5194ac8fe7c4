package io.bilberrygrade.serving.room;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.room.Capacity;
import io.bilberrygrade.core.room.CapacityRange;
import io.bilberrygrade.core.room.CapacityStatement;
import io.bilberrygrade.core.room.FleetCapacities;
import io.bilberrygrade.serving.peer.AggregatorEntry;
import io.bilberrygrade.serving.peer.CapacityEntry;
import io.bilberrygrade.serving.peer.CapacityReply;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Converts between the capacities that a daemon knows and those in its messages. Malformed ones in
 * a peer's message count as not stated.
 */
public final class CapacityCodec {
    private CapacityCodec() {}

    /** Returns what a daemon states about itself; null if it states nothing. */
    public static CapacityEntry own(FleetCapacities capacities) {
        return entry(capacities.own());
    }

    private static CapacityEntry entry(Optional<CapacityStatement> stated) {
        return stated.map(
                        s ->
                                new CapacityEntry(
                                        s.capacity().processorMillis(),
                                        s.capacity().linkMbps(),
                                        s.slow()))
                .orElse(null);
    }

    /** Returns what an entry states. */
    public static Optional<CapacityStatement> statement(CapacityEntry entry) {
        return Optional.ofNullable(entry)
                .filter(e -> e.processorMillis() > 0 && e.linkMbps() >= 0)
                .map(
                        e ->
                                new CapacityStatement(
                                        new Capacity(e.processorMillis(), e.linkMbps()), e.slow()));
    }

    /** Returns what to tell a peer beside the given aggregators; null if none state anything. */
    public static CapacityReply reply(
            FleetCapacities capacities, ImmutableList<FleetMember> aggregators, Instant now) {
        return capacities
                .contactedRange(now)
                .map(
                        r ->
                                new CapacityReply(
                                        own(capacities),
                                        aggregators.stream()
                                                .map(m -> entry(capacities.of(m.address())))
                                                .toList(),
                                        r.minMillis(),
                                        r.maxMillis()))
                .orElse(null);
    }

    /** Records what a peer's answer states; an older peer states nothing. */
    public static void apply(
            FleetCapacities capacities,
            Address peer,
            CapacityReply reply,
            List<AggregatorEntry> aggregators,
            Instant now) {
        capacities.recordOwnStatement(
                peer, Optional.ofNullable(reply).flatMap(r -> statement(r.own())), now);
        if (reply == null) {
            return;
        }
        if (reply.named() != null && reply.named().size() == aggregators.size()) {
            for (int i = 0; i < aggregators.size(); i++) {
                recordNamed(capacities, aggregators.get(i), reply.named().get(i), now);
            }
        }
        capacities.recordRange(new CapacityRange(reply.minMillis(), reply.maxMillis()), now);
    }

    private static void recordNamed(
            FleetCapacities capacities, AggregatorEntry member, CapacityEntry entry, Instant now) {
        Optional<Address> address =
                Optional.ofNullable(member).flatMap(m -> Address.tryParseRemote(m.address()));
        if (address.isPresent()) {
            statement(entry).ifPresent(c -> capacities.recordNamed(address.get(), c, now));
        }
    }
}
