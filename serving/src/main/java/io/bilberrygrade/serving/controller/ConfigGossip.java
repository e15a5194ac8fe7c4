package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.PeerConfigSource;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Gossips the configuration version and exchanges its content with peers. A daemon that isn't
 * serving yet announces no version, since it may have read a stale one.
 */
public final class ConfigGossip implements GossipContributor {
    private final ConfigController mConfig;
    private final PeerNetwork mPeers;
    private final Function<InstanceId, Optional<Address>> mAddresses;
    private final BooleanSupplier mServing;
    private final Map<InstanceId, Long> mPeerVersions = new HashMap<>();
    private boolean mFetching;

    /**
     * Creates the contributor; {@code serving} returns whether this daemon may announce its
     * version.
     */
    public ConfigGossip(
            ConfigController config,
            PeerNetwork peers,
            Function<InstanceId, Optional<Address>> addresses,
            BooleanSupplier serving) {
        mConfig = config;
        mPeers = peers;
        mAddresses = addresses;
        mServing = serving;
    }

    @Override
    public void contribute(GossipDigestBuilder digestBuilder, Instant now) {
        digestBuilder.configVersion(mServing.getAsBoolean() ? mConfig.current().version() : 0);
    }

    @Override
    public boolean merge(PeerIdentity from, GossipDigest digest, Instant now) {
        mPeerVersions.merge(from.instance(), digest.configVersion(), Math::max);
        if (digest.configVersion() > mConfig.current().version()) {
            mAddresses.apply(from.instance()).ifPresent(this::fetch);
        }
        return false;
    }

    private void fetch(Address peer) {
        if (mFetching) {
            return;
        }
        mFetching = true;
        mConfig.refreshFrom(new PeerConfigSource(mPeers, peer), peer.toString())
                .onFailure(CallException.class)
                .recoverWithItem((Void) null)
                .onTermination()
                .invoke(() -> mFetching = false)
                .subscribe()
                .with(v -> {}, e -> {});
    }

    /** Returns the number of peers that have announced a version or that they have none. */
    public int answeredPeers() {
        return mPeerVersions.size();
    }

    /** Returns the highest version that a serving peer has announced. */
    public OptionalLong highestPeerVersion() {
        return mPeerVersions.values().stream().mapToLong(v -> v).filter(v -> v > 0).max();
    }

    /** Returns the manifest of the version in force to a peer. */
    public PeerMessage onManifestRequest(PeerMessage.ManifestRequest request) {
        return new PeerMessage.ManifestReply(
                mConfig.manifest().version(), mConfig.manifest().parts());
    }

    /** Returns a part of the version in force to a peer, by digest. */
    public PeerMessage onPartRequest(PeerMessage.PartRequest request) {
        return mConfig.part(String.valueOf(request.digest()))
                .<PeerMessage>map(b -> new PeerMessage.PartReply(b.toString()))
                .orElseGet(() -> new PeerMessage.Failure("no part with this digest is in force"));
    }
}
