package io.bilberrygrade.serving.forward;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.core.identity.TeamId;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Identifies a request however often it is sent, by what an endpoint runs: method, path, team and
 * body. Ids of attempts and connections differ each time.
 */
final class RequestDigest {
    private RequestDigest() {}

    static long of(RequestHead head, Optional<TeamId> team, Buffer body) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        put(hasher, head.method().name());
        put(hasher, head.uri());
        put(hasher, team.map(TeamId::value).orElse(""));
        if (body.length() == 0) {
            put(hasher, head.ownPart().map(PromptPart::id).orElse(""));
        } else {
            hasher.putBytes(body.getBytes());
        }
        return hasher.hash().asLong();
    }

    private static void put(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}
