package io.bilberrygrade.serving.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.vertx.core.MultiMap;
import java.util.Optional;

/**
 * What a daemon states with a request that it hands over to a peer, in headers between daemons
 * alone.
 *
 * @param attempts endpoints that may still get the request
 * @param configVersion version of the configuration by which it was accepted
 * @param proof shows that the sender is a daemon of this deployment
 */
public record HandOver(int attempts, long configVersion, String proof) {
    /** Header of a refusal by a peer that can't take requests now, though another one may. */
    public static final String REFUSED = "Relay-Refused";

    /** Most that the statement adds to the head of a request, in bytes. */
    public static final int MAX_HEADER_BYTES = 256;

    private static final String ATTEMPTS = "Relay-Attempts";
    private static final String CONFIG_VERSION = "Relay-Config-Version";
    private static final String PROOF = "Relay-Proof";

    /** Adds the statement to the headers of a request. */
    public void write(MultiMap headers) {
        headers.set(ATTEMPTS, Integer.toString(attempts));
        headers.set(CONFIG_VERSION, Long.toString(configVersion));
        headers.set(PROOF, proof);
    }

    /** Removes the statement from the headers of a request; empty if it is missing or malformed. */
    public static Optional<HandOver> take(MultiMap headers) {
        Optional<Integer> attempts =
                Optional.ofNullable(headers.get(ATTEMPTS)).map(Ints::tryParse).filter(a -> a > 0);
        Optional<Long> version =
                Optional.ofNullable(headers.get(CONFIG_VERSION)).map(Longs::tryParse);
        Optional<String> proof = Optional.ofNullable(headers.get(PROOF));
        ImmutableList.of(ATTEMPTS, CONFIG_VERSION, PROOF).forEach(headers::remove);
        return attempts.flatMap(a -> version.flatMap(v -> proof.map(p -> new HandOver(a, v, p))));
    }
}
