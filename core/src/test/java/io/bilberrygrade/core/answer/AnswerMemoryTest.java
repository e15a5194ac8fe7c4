package io.bilberrygrade.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class AnswerMemoryTest {
    private static final long MAX_BYTES = 24_000;
    private static final long SEED = 58;

    private final AnswerMemory<String> mMemory = new AnswerMemory<>(MAX_BYTES);
    private final List<String> mEnded = new ArrayList<>();

    private AnswerMemory<String>.Holding add(String source, String answer) {
        return mMemory.add(source, () -> mEnded.add(answer));
    }

    @Test
    void answersWithinTheLimitGoOn() {
        add("a", "a1").set(12_000);
        add("b", "b1").set(12_000);
        assertThat(mEnded).isEmpty();
        assertThat(mMemory.heldBytes()).isEqualTo(MAX_BYTES);
    }

    @Test
    void largestAnswerOfSourceThatHoldsMostEnds() {
        add("sound", "large").set(8_000);
        add("faulty", "f1").set(5_000);
        add("faulty", "f2").set(6_000);
        add("faulty", "f3").set(5_000);
        add("sound", "small").set(400);
        assertThat(mEnded).containsExactly("f2");
        assertThat(mMemory.heldBytes()).isEqualTo(18_400);
        assertThat(mMemory.endedCount()).isEqualTo(1);
    }

    @Test
    void singleAnswerOverTheLimitEnds() {
        AnswerMemory<String>.Holding holding = add("a", "a1");
        holding.set(MAX_BYTES + 1);
        assertThat(mEnded).containsExactly("a1");
        holding.set(10);
        assertThat(mMemory.heldBytes()).isZero();
    }

    @Test
    void releasedBytesAreFree() {
        AnswerMemory<String>.Holding holding = add("a", "a1");
        holding.set(20_000);
        holding.set(5_000);
        assertThat(mMemory.heldBytes()).isEqualTo(5_000);
        holding.release();
        holding.release();
        assertThat(mMemory.heldBytes()).isZero();
        add("b", "b1").set(20_000);
        assertThat(mEnded).isEmpty();
    }

    /** Replays 200 endless answers of one endpoint beside small ones of eight sound endpoints. */
    @Test
    void endlessAnswersOfOneSourceEndNoOthers() {
        SplittableRandom random = new SplittableRandom(SEED);
        Map<Integer, AnswerMemory<String>.Holding> endless = new HashMap<>();
        Map<Integer, Long> sizes = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            int number = i;
            endless.put(i, mMemory.add("faulty", () -> endless.remove(number)));
        }
        for (int step = 0; !endless.isEmpty(); step++) {
            AnswerMemory<String>.Holding sound = add("sound-" + step % 8, "sound");
            sound.set(random.nextLong(100));
            List<Integer> left = List.copyOf(endless.keySet());
            int number = left.get(random.nextInt(left.size()));
            long bytes = sizes.merge(number, random.nextLong(1_000), Long::sum);
            endless.get(number).set(bytes);
            sound.release();
            assertThat(mMemory.heldBytes()).isLessThanOrEqualTo(MAX_BYTES);
            assertThat(mEnded).isEmpty();
        }
        assertThat(mMemory.endedCount()).isEqualTo(200);
        assertThat(mMemory.heldBytes()).isZero();
    }
}
