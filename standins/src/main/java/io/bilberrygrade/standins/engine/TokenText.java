package io.bilberrygrade.standins.engine;

import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Text of generated tokens, a function of prompt and offset so that callers can check answers. */
public final class TokenText {
    /** Characters of each token's text. */
    public static final int TOKEN_CHARS = 4;

    private static final int LETTERS = 26;

    private TokenText() {}

    /** Returns the text of the token at {@code offset}, always {@link #TOKEN_CHARS} long. */
    public static String token(long promptSeed, int offset) {
        long bits =
                Hashing.murmur3_128()
                        .newHasher()
                        .putLong(promptSeed)
                        .putInt(offset)
                        .hash()
                        .asLong();
        StringBuilder text = new StringBuilder(TOKEN_CHARS);
        for (int i = 1; i < TOKEN_CHARS; i++) {
            text.append((char) ('a' + Math.floorMod(bits, LETTERS)));
            bits /= LETTERS;
        }
        return text.append(' ').toString();
    }

    /** Returns the text of {@code count} tokens from {@code offset} on. */
    public static String tokens(long promptSeed, int offset, int count) {
        StringBuilder text = new StringBuilder(count * TOKEN_CHARS);
        for (int i = 0; i < count; i++) {
            text.append(token(promptSeed, offset + i));
        }
        return text.toString();
    }

    /** Returns the seed of a prompt, given as the UTF-8 bytes of its unescaped text. */
    public static long seed(byte[] prompt) {
        return Hashing.murmur3_128().hashBytes(prompt).asLong();
    }

    /** Returns the seed of a prompt, given as the UTF-8 bytes of its unescaped text. */
    public static long seed(ByteBuf prompt) {
        return Hashing.murmur3_128().hashBytes(prompt.nioBuffer()).asLong();
    }

    /** Returns the seed of a prompt. */
    public static long seed(String prompt) {
        return seed(prompt.getBytes(StandardCharsets.UTF_8));
    }
}
