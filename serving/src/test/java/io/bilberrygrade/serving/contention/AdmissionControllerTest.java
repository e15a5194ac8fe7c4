package io.bilberrygrade.serving.contention;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.contention.AdmissionCause;
import io.bilberrygrade.core.contention.AdmissionDecision;
import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.forward.WeightedService;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.event.ContentionEvent;
import io.bilberrygrade.serving.event.Event;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class AdmissionControllerTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final FleetTraits CONTENDED = new FleetTraits(true, false);
    private static final Duration WORK = Duration.ofSeconds(1);

    private final List<Event> mEvents = new ArrayList<>();
    private FleetTraits mTraits = CONTENDED;
    private final AdmissionController mController =
            new AdmissionController(
                    () -> mTraits,
                    () -> 4,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(7),
                    mEvents::add);

    private static Arrival arrival(String id, long timeLeftMillis) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.NON_IDEMPOTENT,
                        false,
                        Duration.ofSeconds(9),
                        Duration.ofMillis(400),
                        Optional.empty(),
                        1,
                        true,
                        ImmutableList.of(new WeightedService(SERVICE, 1)));
        return new Arrival(
                id,
                route,
                new ForwardService(SERVICE, 99, Optional.empty()),
                Rank.HIGHEST,
                Optional.empty(),
                Optional.empty(),
                10,
                Duration.ofMillis(timeLeftMillis),
                id::hashCode);
    }

    private static ImmutableList<Candidate> endpoint(int calls) {
        return ImmutableList.of(endpoint("e", 8, calls));
    }

    private static Candidate endpoint(String id, int slots, int calls) {
        return new Candidate(
                new RegisteredEndpoint(
                        new EndpointId(id),
                        1,
                        SERVICE,
                        new Address("10.0.0.1", 1),
                        new DataCentreId("z"),
                        slots,
                        false),
                new EndpointWork(calls, 0, 0, 0, 0));
    }

    private Optional<Admission> decide(String id, int calls, long timeLeftMillis) {
        return mController.decide(
                arrival(id, timeLeftMillis), endpoint(calls), Duration.ofMillis(100), NOW);
    }

    /** Lets requests end from which the controller learns how long they take. */
    private void teach() {
        for (int i = 0; i < 10; i++) {
            Admission admission = decide("w" + i, 0, 9_000).orElseThrow();
            mController.recordAnswered(admission, 0, NOW, NOW.plus(WORK));
            mController.recordEnded(admission);
        }
        mEvents.clear();
    }

    // Guards against a decision, or an event, in a deployment that states no trait: there every
    // request is sent, as before.
    @ParameterizedTest
    @CsvSource({"0,9000", "32,9000", "500,9000", "500,1"})
    void decidesNothingWithoutTraits(int calls, long timeLeftMillis) {
        teach();
        mTraits = FleetTraits.NONE;
        assertThat(decide("x", calls, timeLeftMillis)).isEmpty();
        assertThat(mEvents).isEmpty();
    }

    // Guards against a refusal without the inputs that explain it.
    @Test
    void refusalIsLoggedWithItsInputs() {
        teach();
        Admission refused = decide("x", 20, 300).orElseThrow();
        assertThat(refused.decision().cause()).isEqualTo(AdmissionCause.PAST_DEADLINE);
        AdmissionDecision.Refuse refusal = (AdmissionDecision.Refuse) refused.decision();
        assertThat(mEvents)
                .containsExactly(
                        new ContentionEvent.RequestRefused(
                                "x",
                                "PAST_DEADLINE",
                                0,
                                "none",
                                0,
                                500,
                                400,
                                300,
                                20,
                                8,
                                0,
                                100,
                                refusal.retryAfter().toMillis(),
                                refusal.promised(),
                                "0/none=10"));
    }

    // Guards against requests that queue at the endpoint and teach that all take longer.
    @Test
    void queuedRequestsOfPlainServicesTeachNothing() {
        for (int i = 0; i < 10; i++) {
            Admission admission = decide("w" + i, 8, 9_000).orElseThrow();
            mController.recordAnswered(admission, 0, NOW, NOW.plusSeconds(8));
            mController.recordEnded(admission);
        }
        assertThat(decide("x", 8, 300).orElseThrow().decision())
                .isInstanceOf(AdmissionDecision.Admit.class);
    }

    // Guards against a sum over the endpoints that overflows, so that one entry of the store turns
    // all of a service's requests away.
    @ParameterizedTest
    @CsvSource({"10, 2147483647, 0, 0, false", "10, 10, 0, 0, false"})
    void sumsOverEndpointsDoNotOverflow(
            int slots, int otherSlots, int calls, int otherCalls, boolean refused) {
        teach();
        ImmutableList<Candidate> endpoints =
                ImmutableList.of(
                        endpoint("e", slots, calls), endpoint("other", otherSlots, otherCalls));
        Admission admission =
                mController
                        .decide(arrival("x", 900), endpoints, Duration.ofMillis(100), NOW)
                        .orElseThrow();
        assertThat(admission.decision() instanceof AdmissionDecision.Refuse).isEqualTo(refused);
    }
}
