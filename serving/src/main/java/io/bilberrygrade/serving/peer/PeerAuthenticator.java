package io.bilberrygrade.serving.peer;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import io.bilberrygrade.serving.settings.PeerKey;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * Proves possession of the shared key without sending it. Each side signs the other's fresh nonce
 * together with its own role and identity, which prevents replay and reflection of a proof.
 */
final class PeerAuthenticator {
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] mKey;

    PeerAuthenticator(PeerKey key) {
        mKey = key.bytes();
    }

    static String newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return BaseEncoding.base16().lowerCase().encode(nonce);
    }

    String proof(Role role, String nonce, String instance, long incarnation) {
        return Hashing.hmacSha256(mKey)
                .newHasher()
                .putString(role.name(), StandardCharsets.UTF_8)
                .putUnencodedChars(nonce)
                .putLong(incarnation)
                .putString(instance, StandardCharsets.UTF_8)
                .hash()
                .toString();
    }

    boolean isValid(String proof, Role role, String nonce, String instance, long incarnation) {
        return proof != null
                && nonce != null
                && instance != null
                && MessageDigest.isEqual(
                        bytes(proof), bytes(proof(role, nonce, instance, incarnation)));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Sides of a connection. */
    enum Role {
        CONNECTING,
        ACCEPTING
    }
}
