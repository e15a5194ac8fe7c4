package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.Confirmation;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.peer.ConfirmationEntry;
import java.time.Duration;
import java.util.Optional;

/**
 * Shares confirmations of the configuration among daemons. One that can't reach the store goes on
 * while a peer can, and a fleet reads the store about as often as one daemon alone would.
 */
final class Vouching {
    private final StateController mState;
    private final StateReader mReader;
    private final ConfigHandOver mHandOver;

    Vouching(StateController state, StateReader reader, ConfigHandOver handOver) {
        mState = state;
        mReader = reader;
        mHandOver = handOver;
    }

    /** Returns what this daemon says, written at this moment; null if it can't rely on its own. */
    ConfirmationEntry statement() {
        return mState.confirmation()
                .map(
                        c ->
                                new ConfirmationEntry(
                                        c.configVersion(),
                                        c.store().era(),
                                        c.store().revision(),
                                        c.age().toMillis()))
                .orElse(null);
    }

    /** Takes a peer's statement in, which was asked for at the given time. */
    void heard(Optional<ConfirmationEntry> entry, Address peer, ClockReading askedAt) {
        entry.map(Vouching::decode).ifPresent(c -> heard(c, peer, askedAt));
    }

    private void heard(Confirmation said, Address peer, ClockReading askedAt) {
        mState.confirmed(said, askedAt);
        if (mState.counts(said.store())) {
            mReader.checkWatch(said.store());
        }
        if (said.configVersion() > mState.version()) {
            mReader.confirmNow();
            mHandOver.newer(said.configVersion(), peer);
        }
    }

    /** Rounds the age up, since a shorter one would extend the right to honour keys. */
    private static Confirmation decode(ConfirmationEntry e) {
        Duration age = Duration.ofMillis(e.ageMillis() + 1);
        StorePosition store = new StorePosition(e.storeEra(), e.storeRevision());
        return new Confirmation(e.configVersion(), store, age);
    }
}
