package io.bilberrygrade.serving.settings;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Digest of the credential for the operator API. */
public record OperatorCredential(HashCode digest) {
    /** Returns the digest of a credential. */
    public static OperatorCredential of(String credential) {
        return new OperatorCredential(hash(credential));
    }

    /** Returns whether a presented credential is the expected one, in constant time. */
    public boolean matches(String presented) {
        return MessageDigest.isEqual(digest.asBytes(), hash(presented).asBytes());
    }

    private static HashCode hash(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "OperatorCredential";
    }
}
