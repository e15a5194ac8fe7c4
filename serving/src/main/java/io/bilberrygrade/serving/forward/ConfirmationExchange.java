package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.Confirmation;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.peer.ConfirmationEntry;
import java.time.Duration;
import java.util.Optional;

/**
 * Exchanges confirmations of the configuration with peers. A daemon without a connection to the
 * store can continue as long as a peer has one, and a fleet reads the store about as often as a
 * single daemon would.
 */
final class ConfirmationExchange {
    private final StateController mState;
    private final StateReader mReader;
    private final ConfigExchange mConfigExchange;

    ConfirmationExchange(StateController state, StateReader reader, ConfigExchange configExchange) {
        mState = state;
        mReader = reader;
        mConfigExchange = configExchange;
    }

    /**
     * Returns this daemon's confirmation with its age at this moment; null if it has none or it has
     * expired.
     */
    ConfirmationEntry ownConfirmation() {
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

    /** Applies a peer's confirmation, which was requested at the given time. */
    void onPeerConfirmation(Optional<ConfirmationEntry> entry, Address peer, ClockReading askedAt) {
        entry.map(ConfirmationExchange::decode)
                .ifPresent(c -> onPeerConfirmation(c, peer, askedAt));
    }

    private void onPeerConfirmation(Confirmation confirmation, Address peer, ClockReading askedAt) {
        mState.onConfirmed(confirmation, askedAt);
        if (mState.observeEra(confirmation.store())) {
            mReader.checkWatch(confirmation.store());
        }
        if (confirmation.configVersion() > mState.version()) {
            mReader.confirmNow();
            mConfigExchange.fetchNewer(confirmation.configVersion(), peer);
        }
    }

    /**
     * Decodes a confirmation; rounds its age up, since a shorter age would extend the time for
     * which keys are honoured.
     */
    private static Confirmation decode(ConfirmationEntry e) {
        Duration age = Duration.ofMillis(e.ageMillis() + 1);
        StorePosition store = new StorePosition(e.storeEra(), e.storeRevision());
        return new Confirmation(e.configVersion(), store, age);
    }
}
