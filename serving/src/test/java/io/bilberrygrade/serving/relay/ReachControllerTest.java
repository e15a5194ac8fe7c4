package io.bilberrygrade.serving.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.RelayEvent;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Guards against requests that are refused, or handed over, although they needn't be. */
final class ReachControllerTest {
    private static final ServiceId ENGINES = new ServiceId("engines");
    private static final ServiceId ACCOUNTS = new ServiceId("accounts");
    private static final Address RELAY = new Address("10.0.1.1", 9);
    private static final FleetMember SELF = new FleetMember(new Address("10.0.0.9", 1), 9);

    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(7);
    private final List<Event> mEvents = new ArrayList<>();
    private final List<Runnable> mTimers = new ArrayList<>();
    private final Set<ServiceId> mUnreachable = new HashSet<>();
    private final ImmutableList<RegisteredEndpoint> mEndpoints =
            IntStream.range(0, 8)
                    .mapToObj(i -> endpoint(i, i < 5 ? ENGINES : ACCOUNTS))
                    .collect(ImmutableList.toImmutableList());
    private Instant mNow = Instant.ofEpochSecond(1_000);

    private static RegisteredEndpoint endpoint(int number, ServiceId service) {
        return new RegisteredEndpoint(
                new EndpointId("e" + number),
                1,
                service,
                new Address("10.0.0." + (10 + number), 80),
                new DataCentreId("z"),
                4,
                false);
    }

    private ReachController controller(boolean withRelays) {
        return new ReachController(
                withRelays ? Optional.of(directory()) : Optional.empty(),
                () -> mEndpoints,
                a -> Uni.createFrom().item(isReachable(a)),
                () -> mNow,
                delay -> Uni.createFrom().emitter(e -> mTimers.add(() -> e.complete(null))),
                mRandom,
                mEvents::add);
    }

    /** Returns a directory whose aggregator, this daemon's seed, names one relay. */
    private RelayDirectory directory() {
        PeerMessage named = new PeerMessage.RelaysNamed(List.of(RELAY.toString()));
        return new RelayDirectory(
                (peer, message, timeout) -> Uni.createFrom().item(named),
                new FleetView(SELF, ImmutableList.of(new Address("10.0.0.1", 1))),
                new RelayNaming(SELF, DeploymentOptions.NONE, () -> true, () -> mNow, mRandom),
                () -> mNow,
                mRandom);
    }

    private boolean isReachable(Address address) {
        return mEndpoints.stream()
                .filter(e -> e.address().equals(address))
                .noneMatch(e -> mUnreachable.contains(e.service()));
    }

    private void failAll(ReachController controller, ServiceId service) {
        mEndpoints.stream()
                .filter(e -> e.service().equals(service))
                .forEach(e -> controller.recordUnreachable(e, "refused"));
    }

    /** Lets the timers of one interval of trials fire. */
    private void passTrials() {
        mNow = mNow.plus(Duration.ofMillis(400));
        List<Runnable> due = List.copyOf(mTimers);
        mTimers.clear();
        due.forEach(Runnable::run);
    }

    @Test
    void nothingIsHandedOverWithoutSettingForIt() {
        ReachController controller = controller(false);
        failAll(controller, ENGINES);
        assertThat(controller.isCutFrom(ENGINES)).isFalse();
        assertThat(controller.relay(ENGINES)).isEmpty();
        assertThat(mEvents).isEmpty();
        assertThat(mTimers).isEmpty();
    }

    @Test
    void onlyTheServiceThatIsOutOfReachIsHandedOver() {
        mUnreachable.add(ACCOUNTS);
        ReachController controller = controller(true);
        failAll(controller, ACCOUNTS);
        for (int i = 0; i < 5; i++) {
            passTrials();
        }
        assertThat(controller.relay(ACCOUNTS)).contains(RELAY);
        assertThat(controller.relay(ENGINES)).isEmpty();
        assertThat(controller.isCutFromAll()).isFalse();
    }

    // Callers of the other service don't have to find out by requests of their own.
    @Test
    void trialsShowThatOtherServiceIsOutOfReachToo() {
        mUnreachable.add(ENGINES);
        mUnreachable.add(ACCOUNTS);
        ReachController controller = controller(true);
        failAll(controller, ENGINES);
        assertThat(controller.isCutFromAll()).isFalse();
        for (int i = 0; i < 20 && !controller.isCutFromAll(); i++) {
            passTrials();
        }
        assertThat(controller.isCutFromAll()).isTrue();
        assertThat(controller.relay(ACCOUNTS)).contains(RELAY);
    }

    @Test
    void endpointsAreUsedAgainOnceTrialsAreAccepted() {
        mUnreachable.add(ENGINES);
        ReachController controller = controller(true);
        failAll(controller, ENGINES);
        passTrials();
        assertThat(controller.relay(ENGINES)).contains(RELAY);
        mUnreachable.clear();
        for (int i = 0; i < 10 && controller.isCutFrom(ENGINES); i++) {
            passTrials();
        }
        assertThat(controller.relay(ENGINES)).isEmpty();
        passTrials();
        assertThat(mTimers).isEmpty();
        assertThat(mEvents)
                .hasExactlyElementsOfTypes(
                        RelayEvent.EndpointsUnreachable.class, RelayEvent.EndpointsReachable.class);
    }
}
