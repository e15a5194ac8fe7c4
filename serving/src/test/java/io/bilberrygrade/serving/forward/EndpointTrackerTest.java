package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.ratelimit.PermitGrant;
import io.bilberrygrade.core.ratelimit.RateLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks which rate-limited endpoints are eligible. */
final class EndpointTrackerTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final RegisteredEndpoint LIMITED = endpoint("limited");
    private static final RegisteredEndpoint OTHER = endpoint("other");
    private static final RegisteredEndpoint HEALTHY = endpoint("healthy");
    private static final ImmutableSet<EndpointId> NONE_TRIED = ImmutableSet.of();

    private final EndpointDirectory mDirectory = new EndpointDirectory();
    private final EndpointTracker mTracker = new EndpointTracker(mDirectory, new WorkLedger());

    private static RegisteredEndpoint endpoint(String id) {
        return endpoint(id, 1);
    }

    private static RegisteredEndpoint endpoint(String id, long startedAtMillis) {
        return new RegisteredEndpoint(
                new EndpointId(id),
                startedAtMillis,
                SERVICE,
                new Address("10.0.0.1", 1),
                new DataCentreId("z"),
                4,
                false);
    }

    @BeforeEach
    void limitOneEndpoint() {
        mDirectory.put(LIMITED, NOW);
        mTracker.recordRateLimit(LIMITED.run(), Optional.of(new RateLimit(1)), NOW, NOW);
    }

    private void grant(int permits, Duration nextIn) {
        mTracker.permits()
                .add(LIMITED.run(), new PermitGrant(permits, Optional.of(nextIn)), NOW, NOW);
    }

    private ImmutableList<Candidate> candidates() {
        return mTracker.candidates(SERVICE, NONE_TRIED, NOW);
    }

    @Test
    void endpointAtItsLimitIsNoCandidate() {
        assertThat(candidates()).isEmpty();
    }

    @Test
    void endpointWithPermitIsCandidateForOneRequest() {
        grant(1, Duration.ZERO);
        assertThat(candidates()).singleElement().matches(Candidate::rateLimited);
        mTracker.recordSent(LIMITED.id(), NOW);
        assertThat(candidates()).isEmpty();
    }

    @Test
    void partOfPromptAtHelperUsesPermit() {
        grant(1, Duration.ZERO);
        mTracker.recordHelpers(ImmutableList.of(LIMITED), NOW);
        assertThat(candidates()).isEmpty();
    }

    @Test
    void admissionDoesNotCountOnRateLimitedEndpoint() {
        mDirectory.put(OTHER, NOW);
        grant(1, Duration.ZERO);
        assertThat(mTracker.candidates(SERVICE, NOW))
                .extracting(Candidate::endpoint)
                .containsExactly(OTHER);
    }

    @Test
    void failingEndpointAtItsLimitIsNoLastResort() {
        mDirectory.put(OTHER, NOW);
        mTracker.recordFailure(OTHER.run(), NOW);
        assertThat(candidates()).extracting(Candidate::endpoint).containsExactly(OTHER);
    }

    private ImmutableList<RegisteredEndpoint> eligible(Instant now) {
        return mTracker.candidates(SERVICE, NONE_TRIED, now).stream()
                .map(Candidate::endpoint)
                .collect(ImmutableList.toImmutableList());
    }

    /** An endpoint that crashed with five requests hasn't failed five times. */
    @Test
    void requestsCutOffByOneCrashCountAsOneFailure() {
        mDirectory.put(OTHER, NOW);
        mDirectory.put(HEALTHY, NOW);
        for (int i = 0; i < 5; i++) {
            mTracker.recordFailure(OTHER.run(), NOW.plusMillis(i));
        }
        assertThat(eligible(NOW.plusMillis(999))).containsExactly(HEALTHY);
        assertThat(eligible(NOW.plusMillis(1_000))).containsExactly(OTHER, HEALTHY);
    }

    /** Sound endpoints fall silent now and then. */
    @Test
    void silenceDoesNotEjectAnEndpointForLong() {
        mDirectory.put(OTHER, NOW);
        mDirectory.put(HEALTHY, NOW);
        for (int i = 0; i < 6; i++) {
            Instant silentAt = NOW.plusSeconds(3L * i);
            mTracker.recordSilence(OTHER.run(), silentAt);
            mTracker.recordSilence(OTHER.run(), silentAt.plusMillis(1));
            assertThat(eligible(silentAt.plusMillis(249))).containsExactly(HEALTHY);
            assertThat(eligible(silentAt.plusSeconds(2))).containsExactly(OTHER, HEALTHY);
        }
    }

    @Test
    void nextRunUnderTheSameIdIsNotEjectedForTheFailuresOfTheLast() {
        mDirectory.put(OTHER, NOW);
        mDirectory.put(HEALTHY, NOW);
        mTracker.recordFailure(OTHER.run(), NOW);
        assertThat(eligible(NOW)).containsExactly(HEALTHY);
        mDirectory.put(endpoint("other", 2), NOW);
        assertThat(eligible(NOW)).containsExactlyInAnyOrder(endpoint("other", 2), HEALTHY);
    }

    @Test
    void requestWaitsOnlyIfTheFleetMayHaveRoom() {
        assertThat(mTracker.mayHaveRoom(SERVICE, NONE_TRIED, NOW)).isTrue();
        grant(0, Duration.ofSeconds(1));
        assertThat(mTracker.mayHaveRoom(SERVICE, NONE_TRIED, NOW)).isFalse();
        assertThat(mTracker.mayHaveRoom(SERVICE, ImmutableSet.of(LIMITED.id()), NOW)).isFalse();
    }

    @Test
    void returnIsExpectedWhenTheFleetHasRoomAgain() {
        grant(0, Duration.ofSeconds(3));
        assertThat(mTracker.earliestReturn(SERVICE, NOW)).contains(NOW.plusSeconds(3));
    }

    @Test
    void returnIsExpectedFromTheFirstOfBackoffAndLimit() {
        mDirectory.put(OTHER, NOW);
        mTracker.backOff(OTHER.run(), Duration.ofSeconds(2), 0, NOW);
        grant(0, Duration.ofSeconds(3));
        assertThat(mTracker.earliestReturn(SERVICE, NOW)).contains(NOW.plusSeconds(2));
    }

    @Test
    void noReturnIsNamedWhileAnEndpointAcceptsRequests() {
        mDirectory.put(OTHER, NOW);
        grant(0, Duration.ofSeconds(3));
        assertThat(mTracker.earliestReturn(SERVICE, NOW)).isEmpty();
    }

    @Test
    void limitOfRegisteredEndpointStaysWhenOldStateIsRemoved() {
        mTracker.removeUnknown(NOW.plus(Duration.ofHours(1)));
        assertThat(candidates()).isEmpty();
    }
}
