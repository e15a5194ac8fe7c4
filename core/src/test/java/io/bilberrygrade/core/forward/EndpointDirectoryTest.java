package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class EndpointDirectoryTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final ServiceId SERVICE = new ServiceId("s");
    private final EndpointDirectory mDirectory = new EndpointDirectory();

    private static RegisteredEndpoint endpoint(String id, long startedAt, boolean leaving) {
        return new RegisteredEndpoint(
                new EndpointId(id),
                startedAt,
                SERVICE,
                new Address("10.0.0.1", 80),
                new DataCentreId("a"),
                4,
                leaving);
    }

    private ImmutableList<String> usable(Instant now) {
        return mDirectory.usable(SERVICE, now).stream()
                .map(e -> e.id().value())
                .collect(ImmutableList.toImmutableList());
    }

    @Test
    void leavingEndpointIsExcludedForRestOfItsRun() {
        mDirectory.put(endpoint("e", 1, true), T0);
        assertThat(usable(T0)).isEmpty();
        mDirectory.put(endpoint("e", 1, false), T0);
        assertThat(usable(T0)).isEmpty();
    }

    /** Guards against helpers and reservations at an engine that was chosen before the mark. */
    @Test
    void endpointOfAnEvacuatedDataCentreIsNotEligibleAlthoughItWasChosenBefore() {
        RegisteredEndpoint chosen = endpoint("e", 1, false);
        mDirectory.put(chosen, T0);
        assertThat(mDirectory.isEligible(chosen, T0)).isTrue();
        assertThat(mDirectory.isEvacuated(SERVICE, T0)).isFalse();
        mDirectory.evacuated().record(chosen.dataCentre(), new StorePosition(1, 1), true, T0);
        assertThat(mDirectory.isEligible(chosen, T0)).isFalse();
        assertThat(mDirectory.isEvacuated(SERVICE, T0)).isTrue();
        assertThat(mDirectory.isEvacuated(new ServiceId("other"), T0)).isFalse();
        mDirectory.evacuated().record(chosen.dataCentre(), new StorePosition(1, 2), false, T0);
        assertThat(mDirectory.isEligible(chosen, T0)).isTrue();
    }

    @Test
    void restartedEndpointWithSameIdIsUsable() {
        mDirectory.put(endpoint("e", 1, true), T0);
        mDirectory.put(endpoint("e", 2, false), T0);
        assertThat(usable(T0)).containsExactly("e");
    }

    @Test
    void entryRemovedWhileStoreIsReachableIsDroppedImmediately() {
        mDirectory.put(endpoint("e", 1, false), T0);
        mDirectory.remove(new EndpointId("e"), T0);
        assertThat(usable(T0)).isEmpty();
    }

    @Test
    void entryRemovedDuringStoreOutageIsKeptForGracePeriod() {
        mDirectory.put(endpoint("back", 1, false), T0);
        mDirectory.put(endpoint("dead", 1, false), T0);
        mDirectory.onStoreLost();
        mDirectory.onStoreAnswered(T0);
        mDirectory.replace(ImmutableList.of(), T0);
        assertThat(usable(T0.plusMillis(1_900))).containsExactly("back", "dead");
        mDirectory.put(endpoint("back", 1, false), T0);
        assertThat(usable(T0.plusMillis(2_100))).containsExactly("back");
    }

    @Test
    void entryRemovedForPeerIsDroppedWhileStoreIsUnreachable() {
        mDirectory.put(endpoint("e", 1, false), T0);
        mDirectory.onStoreLost();
        mDirectory.removeAsSeenByPeer(new EndpointId("e"), T0.plusSeconds(8));
        assertThat(usable(T0.plusSeconds(8))).isEmpty();
    }

    @Test
    void entryRemovedForPeerAfterStoreReturnIsKeptForGracePeriodOnly() {
        mDirectory.put(endpoint("e", 1, false), T0);
        mDirectory.onStoreReturned(T0);
        mDirectory.removeAsSeenByPeer(new EndpointId("e"), T0.plusSeconds(1));
        mDirectory.onStoreLost();
        assertThat(usable(T0.plusMillis(1_900))).containsExactly("e");
        assertThat(usable(T0.plusMillis(2_100))).isEmpty();
    }

    @Test
    void removedEntryIsKeptIfStoreFailsAgainDuringGracePeriod() {
        mDirectory.put(endpoint("e", 1, false), T0);
        mDirectory.onStoreLost();
        mDirectory.onStoreAnswered(T0);
        mDirectory.remove(new EndpointId("e"), T0);
        mDirectory.onStoreLost();
        assertThat(usable(T0.plusSeconds(60))).containsExactly("e");
        mDirectory.onStoreAnswered(T0.plusSeconds(60));
        assertThat(usable(T0.plusSeconds(62))).isEmpty();
    }

    @Test
    void entryMissingFromLaterListIsDropped() {
        mDirectory.replace(ImmutableList.of(endpoint("e", 1, false)), T0);
        assertThat(usable(T0)).containsExactly("e");
        mDirectory.replace(ImmutableList.of(), T0.plusSeconds(1));
        assertThat(usable(T0.plusSeconds(1))).isEmpty();
    }

    @Test
    void entryRemovedDuringStoreOutageIsDroppedAfterGracePeriodWithoutAnotherRead() {
        mDirectory.put(endpoint("e", 1, false), T0);
        mDirectory.onStoreLost();
        mDirectory.remove(new EndpointId("e"), T0);
        assertThat(usable(T0.plusSeconds(60))).containsExactly("e");
        mDirectory.onStoreAnswered(T0.plusSeconds(60));
        assertThat(usable(T0.plusMillis(61_999))).containsExactly("e");
        assertThat(usable(T0.plusSeconds(62))).isEmpty();
    }
}
