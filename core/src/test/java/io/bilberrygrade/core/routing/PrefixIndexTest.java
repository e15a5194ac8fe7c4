package io.bilberrygrade.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Prompt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrefixIndexTest {
    private static final EndpointId A = new EndpointId("a");
    private static final EndpointId B = new EndpointId("b");
    private static final Prompt THREE = prompt(1, 2, 3);

    private final PrefixIndex mIndex = new PrefixIndex();

    @Test
    void findsLongestCommonPrefixOfSentPrompts() {
        mIndex.prefilled(A, THREE);
        assertThat(mIndex.cachedTokens(A, prompt(1, 2, 9))).isEqualTo(2 * Prompt.BLOCK_TOKENS);
        assertThat(mIndex.cachedTokens(A, prompt(9, 2, 3))).isZero();
        assertThat(mIndex.cachedTokens(A, prompt())).isZero();
        assertThat(mIndex.cachedTokens(B, THREE)).isZero();
    }

    @ParameterizedTest
    @CsvSource({"2, 2048", "3, 0", "1, 1024"})
    void sequenceGapClearsEntriesOfEngine(long next, int cached) {
        mIndex.onEvent(A, 1, true, 1);
        mIndex.onEvent(A, next, true, 2);
        assertThat(mIndex.cachedTokens(A, THREE)).isEqualTo(cached);
        mIndex.prefilled(A, THREE);
        assertThat(mIndex.cachedTokens(A, THREE)).isEqualTo(3 * Prompt.BLOCK_TOKENS);
    }

    @Test
    void evictionRemovesBlock() {
        mIndex.prefilled(A, THREE);
        mIndex.prefilled(B, THREE);
        mIndex.onEvent(A, 1, false, 3);
        assertThat(mIndex.cachedTokens(A, THREE)).isEqualTo(2 * Prompt.BLOCK_TOKENS);
        assertThat(mIndex.cachedTokens(B, THREE)).isEqualTo(3 * Prompt.BLOCK_TOKENS);
    }

    @Test
    void evictsLeastRecentlyUsedBlocksAtCapacity() {
        mIndex.prefilled(A, prompt(-1));
        for (int i = 0; i < 65_536; i++) {
            mIndex.prefilled(A, prompt(i));
        }
        assertThat(mIndex.cachedTokens(A, prompt(-1))).isZero();
        assertThat(mIndex.cachedTokens(A, prompt(65_535))).isEqualTo(Prompt.BLOCK_TOKENS);
    }

    private static Prompt prompt(long... hashes) {
        return new Prompt(100_000, 10, ImmutableLongArray.copyOf(hashes));
    }
}
