package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.Confirmation;
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

    Vouching(StateController state, StateReader reader) {
        mState = state;
        mReader = reader;
    }

    /** Returns what this daemon says, written at this moment; null if it can't rely on its own. */
    ConfirmationEntry statement() {
        return mState.confirmation()
                .map(
                        c ->
                                new ConfirmationEntry(
                                        c.configRevision(), c.storeRevision(), c.age().toMillis()))
                .orElse(null);
    }

    /** Takes a peer's statement in, which was asked for at the given time. */
    void heard(Optional<ConfirmationEntry> entry, ClockReading askedAt) {
        entry.map(Vouching::decode).ifPresent(c -> heard(c, askedAt));
    }

    private void heard(Confirmation said, ClockReading askedAt) {
        if (mState.confirmed(said, askedAt)) {
            mReader.checkWatch(said.storeRevision());
        } else if (said.configRevision() > mState.revision()) {
            mReader.confirmNow();
        }
    }

    /** Rounds the age up, since a shorter one would extend the right to honour keys. */
    private static Confirmation decode(ConfirmationEntry e) {
        Duration age = Duration.ofMillis(e.ageMillis() + 1);
        return new Confirmation(e.configRevision(), e.storeRevision(), age);
    }
}
