package io.bilberrygrade.serving.answer;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that arrive in pieces of any size. */
final class AnswerValidatorTest {
    private static final AnswerLimits LIMITS = new AnswerLimits(200, 20, 10);
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String SIZED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    private AnswerValidator mValidator = new AnswerValidator(LIMITS);
    private final StringBuilder mPassedOn = new StringBuilder();

    /** Reads bytes; returns those that belong to no request. */
    private String read(String bytes) throws MalformedAnswerException {
        ByteBuf in = Unpooled.copiedBuffer(bytes, ISO_8859_1);
        try {
            mValidator.read(
                    in,
                    part -> {
                        mPassedOn.append(part.toString(ISO_8859_1));
                        part.release();
                    });
            return in.toString(ISO_8859_1);
        } finally {
            in.release();
        }
    }

    private void readInPieces(String bytes, int size) throws MalformedAnswerException {
        for (int i = 0; i < bytes.length(); i += size) {
            assertThat(read(bytes.substring(i, Math.min(bytes.length(), i + size)))).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                SIZED,
                "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
                "HTTP/1.1 204 None\r\n\r\n",
                "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.0 200 OK\r\n\r\nuntil the end",
                CHUNKED + "3;ext=\"1\"\r\nbod\r\n01\r\ny\r\n000\r\nX-Trailer: 1\r\n\r\n"
            })
    void answerIsPassedOnUnchanged(String answer) throws MalformedAnswerException {
        for (int size = 1; size <= answer.length(); size++) {
            mValidator = new AnswerValidator(LIMITS);
            mValidator.expectAnswer(false);
            mPassedOn.setLength(0);
            readInPieces(answer, size);
            assertThat(mPassedOn.toString()).isEqualTo(answer);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void interimAnswersAreDropped(int size) throws MalformedAnswerException {
        mValidator.expectAnswer(false);
        readInPieces(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hint\r\nA: b\r\n\r\n" + SIZED, size);
        assertThat(mPassedOn.toString()).isEqualTo(SIZED);
    }

    @Test
    void answerToHeadHasNoBody() throws MalformedAnswerException {
        mValidator.expectAnswer(true);
        mValidator.expectAnswer(false);
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        assertThat(read(head + SIZED)).isEmpty();
        assertThat(mPassedOn.toString()).isEqualTo(head + SIZED);
    }

    @Test
    void bytesThatBelongToNoRequestAreLeft() throws MalformedAnswerException {
        mValidator.expectAnswer(false);
        assertThat(read(SIZED + SIZED)).isEqualTo(SIZED);
        assertThat(mPassedOn.toString()).isEqualTo(SIZED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: ",
                CHUNKED + "0\r\nX: ",
                CHUNKED + "1;"
            })
    void endlessHeadOrFramingIsMalformed(String start) throws MalformedAnswerException {
        mValidator.expectAnswer(false);
        String next = start.startsWith("HTTP/1.1 100") ? start : "x";
        read(start);
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 10_000; i++) {
                                read(next);
                            }
                        })
                .isInstanceOf(MalformedAnswerException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nxxxxxxxxxxxxxxxxxxxxx",
                CHUNKED + "15\r\nxxxxxxxxxxxxxxxxxxxxx"
            })
    void bodyOverItsLimitIsMalformed(String answer) {
        mValidator.expectAnswer(false);
        assertThatThrownBy(() -> read(answer))
                .isInstanceOf(MalformedAnswerException.class)
                .hasMessageContaining("over 20 bytes");
    }

    @Test
    void bodyOfErrorHasItsOwnLimit() {
        mValidator.expectAnswer(false);
        assertThatThrownBy(() -> read("HTTP/1.1 500 Error\r\n\r\nxxxxxxxxxxx"))
                .isInstanceOf(MalformedAnswerException.class)
                .hasMessageContaining("over 10 bytes");
    }
}
