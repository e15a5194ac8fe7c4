package io.bilberrygrade.core.atmostonce;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.TeamId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class KeyTableTest {
    private static final Instant START = Instant.ofEpochSecond(1_700_000_000);
    private static final Duration LIFETIME = Duration.ofMinutes(10);
    private static final TeamId TEAM = new TeamId("team");
    private static final KeyAuthority AUTHORITY =
            new KeyAuthority("secret".getBytes(StandardCharsets.UTF_8));

    private final KeyTable<String> mTable = new KeyTable<>(LIFETIME, 2, 100);

    private static IdempotencyKey key(long serial) {
        return AUTHORITY.issue(new InstanceId("e.1"), new Incarnation(7), TEAM, serial, START);
    }

    @Test
    void runsFirstSubmissionOnly() {
        assertThat(mTable.submit(key(1), "a", START)).isInstanceOf(Submission.Run.class);
        assertThat(mTable.submit(key(1), "a", START)).isInstanceOf(Submission.Wait.class);
        assertThat(mTable.submit(key(1), "b", START)).isInstanceOf(Submission.KeyReused.class);

        mTable.end(key(1), "done", 10);

        assertThat(mTable.submit(key(1), "a", START)).isEqualTo(new Submission.Repeat<>("done"));
        assertThat(mTable.submit(key(2), "a", START)).isInstanceOf(Submission.Run.class);
    }

    @Test
    void neverRunsExpiredKeyAndRemovesItsRecord() {
        Instant expiry = START.plus(LIFETIME);
        mTable.submit(key(1), "a", expiry.minusMillis(1));
        mTable.end(key(1), "done", 10);

        assertThat(mTable.submit(key(1), "a", expiry)).isInstanceOf(Submission.Expired.class);
        assertThat(mTable.submit(key(2), "a", expiry)).isInstanceOf(Submission.Expired.class);
        assertThat(mTable.size()).isZero();
    }

    @Test
    void dropsOldestOutcomeOverByteLimitButKeepsItsRecord() {
        mTable.submit(key(1), "a", START);
        mTable.submit(key(2), "a", START);
        mTable.end(key(1), "first", 60);
        mTable.end(key(2), "second", 60);

        assertThat(mTable.submit(key(1), "a", START)).isInstanceOf(Submission.OutcomeDropped.class);
        assertThat(mTable.submit(key(2), "a", START)).isEqualTo(new Submission.Repeat<>("second"));
    }

    @Test
    void issuesBoundedNumberOfKeysPerLifetime() {
        assertThat(mTable.tryIssue(START)).isTrue();
        assertThat(mTable.tryIssue(START)).isTrue();
        assertThat(mTable.tryIssue(START.plus(LIFETIME).minusMillis(1))).isFalse();
        assertThat(mTable.tryIssue(START.plus(LIFETIME))).isTrue();
    }

    @Test
    void parsesAndValidatesIssuedKeys() {
        assertThat(IdempotencyKey.parse(key(3).text())).contains(key(3));
        assertThat(AUTHORITY.isValid(key(3), TEAM)).isTrue();
        assertThat(AUTHORITY.isValid(key(3), new TeamId("other"))).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "bg1", "bg1.a.b.c.d.e.f", "bg2.ZQ.1.1.1.00", "bg1..1.1.1.00"})
    void rejectsMalformedKeys(String text) {
        assertThat(IdempotencyKey.parse(text)).isEmpty();
    }

    @Test
    void rejectsTamperedKeys() {
        String text = key(3).text();
        for (int i = "bg1.".length(); i < text.length(); i++) {
            String changed =
                    text.substring(0, i)
                            + (text.charAt(i) == '1' ? '2' : '1')
                            + text.substring(i + 1);
            assertThat(IdempotencyKey.parse(changed).filter(k -> AUTHORITY.isValid(k, TEAM)))
                    .isEmpty();
        }
    }
}
