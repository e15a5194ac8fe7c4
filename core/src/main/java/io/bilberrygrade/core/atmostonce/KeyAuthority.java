package io.bilberrygrade.core.atmostonce;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.TeamId;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Instant;

/**
 * Issues and verifies keys with the secret that all daemons share, so that keys can't be forged. A
 * key is valid only for the team that requested it.
 */
public final class KeyAuthority {
    private static final String PURPOSE = "idempotency-key";

    private final HashFunction mHmac;

    /**
     * Creates the authority; keys are authenticated with a key derived from the secret, not with
     * the secret itself.
     */
    public KeyAuthority(byte[] secret) {
        byte[] derived =
                Hashing.hmacSha256(secret).hashString(PURPOSE, StandardCharsets.UTF_8).asBytes();
        mHmac = Hashing.hmacSha256(derived);
    }

    /** Issues the key with the given serial number of a run. */
    public IdempotencyKey issue(
            InstanceId home, Incarnation incarnation, TeamId team, long serial, Instant now) {
        IdempotencyKey unsigned =
                new IdempotencyKey(
                        home, incarnation, Instant.ofEpochMilli(now.toEpochMilli()), serial, "");
        return new IdempotencyKey(
                home, incarnation, unsigned.issued(), serial, mac(unsigned, team));
    }

    /** Returns whether a key was issued to the team by a daemon that holds the secret. */
    public boolean isValid(IdempotencyKey key, TeamId team) {
        return MessageDigest.isEqual(utf8(key.mac()), utf8(mac(key, team)));
    }

    private String mac(IdempotencyKey key, TeamId team) {
        return mHmac.newHasher()
                .putInt(team.value().length())
                .putUnencodedChars(team.value())
                .putUnencodedChars(key.signedText())
                .hash()
                .toString();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
