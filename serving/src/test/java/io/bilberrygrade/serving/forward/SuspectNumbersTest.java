package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.peer.Bytes;
import io.bilberrygrade.serving.peer.SuspectTable;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class SuspectNumbersTest {
    private static final ImmutableSet<Suspect> SUSPECTS =
            ImmutableSet.of(
                    Suspect.part(new PromptPart("5c1e07a2")),
                    Suspect.part(new PromptPart("0")),
                    Suspect.part(new PromptPart("5C1E07A2")),
                    Suspect.part(new PromptPart("00000000")),
                    Suspect.part(new PromptPart("a".repeat(200))),
                    Suspect.request(0x1234_5678_9abc_def0L),
                    Suspect.request(0));

    private static SuspectNumbers sent(SuspectNumbers numbers) {
        return SuspectNumbers.of(numbers.table()).orElseThrow();
    }

    @Test
    void setsArriveAsTheyWereSent() {
        SuspectNumbers numbers = SuspectNumbers.of(SUSPECTS);
        for (Suspect suspect : SUSPECTS) {
            ImmutableSet<Suspect> one = ImmutableSet.of(suspect);
            assertThat(sent(numbers).decode(numbers.encode(one))).isEqualTo(one);
        }
        assertThat(sent(numbers).decode(numbers.encode(SUSPECTS))).isEqualTo(SUSPECTS);
        assertThat(sent(numbers).decode(numbers.encode(ImmutableSet.of()))).isEmpty();
    }

    // Guards against parts with long ids that are told apart no more.
    @Test
    void longIdsAreToldApart() {
        String prefix = "a".repeat(200);
        assertThat(Suspect.part(new PromptPart(prefix + "1")))
                .isNotEqualTo(Suspect.part(new PromptPart(prefix + "2")))
                .isEqualTo(Suspect.part(new PromptPart(prefix + "1")));
    }

    // Guards against evidence on many parts that takes the room of the control traffic.
    @Test
    void partOfEightDigitsTakesFourBytes() {
        ImmutableSet<Suspect> parts =
                IntStream.range(0, 150)
                        .mapToObj(i -> new Suspect("%08x".formatted(i * 7_919)))
                        .collect(ImmutableSet.toImmutableSet());
        SuspectNumbers numbers = SuspectNumbers.of(parts);
        assertThat(numbers.table().parts().length()).isEqualTo(150 * 4);
        assertThat(numbers.encode(parts).length()).isLessThanOrEqualTo(150 / 8 + 1);
    }

    @Test
    void malformedTableOrUnknownNumberIsIgnored() {
        assertThat(SuspectNumbers.of((SuspectTable) null)).isEmpty();
        assertThat(SuspectNumbers.of(new SuspectTable(null, null, null))).isEmpty();
        Bytes odd = Bytes.of(new byte[] {1, 2, 3, 4, 5});
        SuspectNumbers numbers =
                SuspectNumbers.of(new SuspectTable(odd, odd, ImmutableList.of("x"))).orElseThrow();
        assertThat(numbers.decode(Bytes.of(new byte[] {-1, -1})))
                .containsExactly(new Suspect("01020304"), new Suspect("x"));
        assertThat(numbers.decode(null)).isEmpty();
    }
}
