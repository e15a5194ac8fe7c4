package io.bilberrygrade.serving.relay;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.relay.RelayMembers;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.serving.peer.PeerMessage;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Names to daemons that are cut off from the endpoints the members of the fleet that take over
 * requests. Members state in their reports of work that they do.
 */
public final class RelayNaming {
    /** Maximum number of relays in an answer, whatever the peer asks for. */
    private static final int MAX_NAMED = 16;

    private final Address mSelf;
    private final Optional<Address> mRelay;
    private final BooleanSupplier mCutOff;
    private final Supplier<Instant> mNow;
    private final RelayMembers mMembers;

    /**
     * Creates the naming of a daemon that has received no reports yet.
     *
     * @param options what the deployment states, with the address at which this daemon takes over
     *     requests, if it does
     * @param cutOff whether it can't serve requests of others at present
     */
    public RelayNaming(
            FleetMember self,
            DeploymentOptions options,
            BooleanSupplier cutOff,
            Supplier<Instant> now,
            UniformRandomProvider random) {
        mSelf = self.address();
        mRelay = options.relay();
        mCutOff = cutOff;
        mNow = now;
        mMembers = new RelayMembers(random);
    }

    /** Returns the port to state in reports; null if this daemon takes no requests at present. */
    public Integer ownPort() {
        return ownRelay().map(Address::port).orElse(null);
    }

    private Optional<Address> ownRelay() {
        return mRelay.filter(r -> !mCutOff.getAsBoolean())
                .map(r -> new Address(mSelf.host(), r.port()));
    }

    /** Records the port that a member states; null or an odd one counts as none. */
    public void onReport(Address member, Integer port) {
        Optional<Address> relay =
                Optional.ofNullable(port)
                        .flatMap(p -> Address.tryParseRemote(member.host() + ":" + p));
        mMembers.recordReport(member, relay, mNow.get());
    }

    /** Returns the relays for a daemon that asks, which may be this one. */
    ImmutableList<Address> name(Address asking, int count) {
        Instant now = mNow.get();
        mMembers.recordReport(mSelf, ownRelay(), now);
        return mMembers.nameFor(asking, Math.min(count, MAX_NAMED), now);
    }

    /** Returns this daemon's address, as a peer that may ask itself. */
    Address self() {
        return mSelf;
    }

    /** Answers a peer's request for relays. */
    public PeerMessage answer(PeerMessage.RelaysWanted wanted) {
        return Address.tryParseRemote(wanted.address())
                .<PeerMessage>map(
                        a ->
                                new PeerMessage.RelaysNamed(
                                        name(a, wanted.count()).stream()
                                                .map(Address::toString)
                                                .toList()))
                .orElseGet(() -> new PeerMessage.Failure("the address can't be read"));
    }
}
