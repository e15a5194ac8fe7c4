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
 * Transfers configurations between daemons, as complete documents that the receiver decodes itself.
 * A daemon needs this if it can't read the newest version from the store: because it has no
 * connection, or because the store was restored from an older backup.
 */
final class ConfigExchange {
    /** Time that a reachable store has to return the version itself before a peer is asked. */
    private static final Duration STORE_GRACE = Duration.ofMillis(100);

    /**
     * Timeout of a call to a peer. Sending a document of one megabyte over a slow link takes a
     * tenth of it.
     */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final StateController mState;
    private final PeerNetwork mNetwork;
    private final ConfigDecoder mDecoder;
    private final Timers mTimers;
    private final EventLog mEvents;
    private boolean mFetching;

    ConfigExchange(
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

    /**
     * Fetches a newer version from a peer unless the store returns it within {@link #STORE_GRACE}.
     */
    void fetchNewer(long version, Address peer) {
        if (mFetching) {
            return;
        }
        mFetching = true;
        mTimers.after(STORE_GRACE).subscribe().with(v -> fetchIfBehind(version, peer));
    }

    private void fetchIfBehind(long version, Address peer) {
        if (mState.version() >= version) {
            mFetching = false;
            return;
        }
        mNetwork.call(peer, new PeerMessage.ConfigWanted(mState.version()), CALL_TIMEOUT)
                .onTermination()
                .invoke(() -> mFetching = false)
                .subscribe()
                .with(
                        reply -> onAnswer(reply, peer),
                        e -> record(peer, version, "no answer: " + e.getMessage()));
    }

    private void onAnswer(PeerMessage reply, Address peer) {
        if (!(reply instanceof PeerMessage.ConfigHanded handed)) {
            record(peer, 0, "the answer is of another kind");
        } else if (handed.document() == null) {
            record(peer, handed.version(), "the peer has none that is newer");
        } else {
            apply(handed, peer);
        }
    }

    private void apply(PeerMessage.ConfigHanded handed, Address peer) {
        Buffer document = handed.document().toBuffer();
        try {
            ForwardingConfig config = mDecoder.decode(document);
            if (config.version() != handed.version()) {
                record(peer, handed.version(), "the document is of version " + config.version());
                return;
            }
            mState.onPeerConfig(
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

    /** Answers a peer that asks for a configuration newer than its own. */
    PeerMessage answer(PeerMessage.ConfigWanted wanted) {
        Optional<PublishedConfig> newer =
                mState.published().filter(c -> c.version() > wanted.newerThan());
        return new PeerMessage.ConfigHanded(
                newer.map(PublishedConfig::version).orElse(mState.version()),
                mState.configPosition().era(),
                mState.configPosition().revision(),
                newer.map(c -> Bytes.of(c.document())).orElse(null));
    }
}
