package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.peer.Bytes;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.time.Timers;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/**
 * Hands the configuration on among daemons, whole and checked, for one that can't read the newest
 * from the store: because it is cut off, or because the store came back from an older copy.
 */
final class ConfigHandOver {
    /** Time in which the store, if it can be reached, gives the configuration itself. */
    private static final Duration STORE_FIRST = Duration.ofMillis(100);

    /** Longest wait for a peer; a document of a megabyte takes a tenth of it on a slow link. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final StateController mState;
    private final PeerNetwork mNetwork;
    private final ConfigDecoder mDecoder;
    private final Timers mTimers;
    private final EventLog mEvents;
    private boolean mAsking;

    ConfigHandOver(
            StateController state,
            PeerNetwork network,
            ConfigDecoder decoder,
            Timers timers,
            EventLog events) {
        mState = state;
        mNetwork = network;
        mDecoder = decoder;
        mTimers = timers;
        mEvents = events;
    }

    /** Asks a peer for its newer version unless the store gives it within a moment. */
    void newer(long version, Address peer) {
        if (mAsking) {
            return;
        }
        mAsking = true;
        mTimers.after(STORE_FIRST).subscribe().with(v -> askIfBehind(version, peer));
    }

    private void askIfBehind(long version, Address peer) {
        if (mState.version() >= version) {
            mAsking = false;
            return;
        }
        mNetwork.call(peer, new PeerMessage.ConfigWanted(mState.version()), CALL_TIMEOUT)
                .onTermination()
                .invoke(() -> mAsking = false)
                .subscribe()
                .with(
                        reply -> answered(reply, peer),
                        e -> record(peer, version, "no answer: " + e.getMessage()));
    }

    private void answered(PeerMessage reply, Address peer) {
        if (!(reply instanceof PeerMessage.ConfigHanded handed)) {
            record(peer, 0, "the answer is of another kind");
        } else if (handed.document() == null) {
            record(peer, handed.version(), "the peer has none that is newer");
        } else {
            take(handed, peer);
        }
    }

    private void take(PeerMessage.ConfigHanded handed, Address peer) {
        Buffer document = handed.document().toBuffer();
        try {
            ForwardingConfig config = mDecoder.decode(document);
            if (config.version() != handed.version()) {
                record(peer, handed.version(), "the document is of version " + config.version());
                return;
            }
            mState.handedOn(
                    new PublishedConfig(config, document),
                    new StorePosition(handed.storeEra(), handed.storeRevision()),
                    peer.toString());
            record(peer, handed.version(), "taken");
        } catch (IOException | RuntimeException e) {
            record(peer, handed.version(), "the document can't be read: " + e.getMessage());
        }
    }

    private void record(Address peer, long version, String outcome) {
        mEvents.record(new ForwardEvent.ConfigHandedOn(peer.toString(), version, outcome));
    }

    /** Answers a peer that asks for a newer configuration than its own. */
    PeerMessage answer(PeerMessage.ConfigWanted wanted) {
        Optional<PublishedConfig> newer =
                mState.published().filter(c -> c.version() > wanted.newerThan());
        return new PeerMessage.ConfigHanded(
                newer.map(PublishedConfig::version).orElse(mState.version()),
                mState.configAt().era(),
                mState.configAt().revision(),
                newer.map(c -> Bytes.of(c.document())).orElse(null));
    }
}
