package io.bilberrygrade.serving.forward;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Entry of the store that can't be read, as another writer may leave it.
 *
 * @param length length of its encoded value
 * @param digest digest of its value, by which an entry that was written again unchanged is
 *     recognized
 */
public record UnreadableEntry(String key, int length, HashCode digest) {
    /** Creates the record of an entry with the given encoded value. */
    public static UnreadableEntry of(String key, String value) {
        HashCode digest = Hashing.sha256().hashString(value, StandardCharsets.UTF_8);
        return new UnreadableEntry(key, value.length(), digest);
    }
}
