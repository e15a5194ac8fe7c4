package io.bilberrygrade.serving.relay;

import com.google.common.hash.Hashing;
import io.bilberrygrade.serving.settings.PeerKey;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Shows that a request was handed over by a daemon of the same deployment, which holds the shared
 * key.
 */
public final class RelayAuthenticator {
    /** Keeps these proofs apart from those of peers' connections, which use the same key. */
    private static final String PURPOSE = "relay";

    private final byte[] mKey;

    /** Creates the authenticator of a daemon. */
    public RelayAuthenticator(PeerKey key) {
        mKey = key.bytes();
    }

    /** Returns the proof for a request with the given id. */
    public String proof(String requestId) {
        return Hashing.hmacSha256(mKey)
                .newHasher()
                .putUnencodedChars(PURPOSE)
                .putUnencodedChars(requestId)
                .hash()
                .toString();
    }

    /** Returns whether a proof was made for a request with the given id. */
    public boolean isValid(String proof, String requestId) {
        return MessageDigest.isEqual(
                proof.getBytes(StandardCharsets.UTF_8),
                proof(requestId).getBytes(StandardCharsets.UTF_8));
    }
}
