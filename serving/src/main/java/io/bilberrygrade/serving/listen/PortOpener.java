package io.bilberrygrade.serving.listen;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Function;

/** Starts to listen at a daemon's addresses, and waits for those that are held by others. */
public final class PortOpener {
    private final ListenRetry mRetry;
    private final InstantSource mClock;
    private final Timers mTimers;
    private final EventLog mEvents;

    /**
     * Creates the opener.
     *
     * @param patience time from now for which held addresses are tried again, in sum
     * @param clock steady clock
     */
    public PortOpener(Duration patience, InstantSource clock, Timers timers, EventLog events) {
        mRetry = new ListenRetry(clock.instant().plus(patience));
        mClock = clock;
        mTimers = timers;
        mEvents = events;
    }

    /**
     * Listens at an address; logs once if it is held by others. Fails with the last failure of
     * {@code listen} if the address can't be bound in time, and at once with any other failure.
     */
    public Uni<Void> open(Address address, Function<Address, Uni<Void>> listen) {
        return listen.apply(address)
                .onFailure()
                .recoverWithUni(
                        e -> {
                            if (mRetry.delay(e, mClock.instant()).isPresent()) {
                                mEvents.record(
                                        new LifecycleEvent.PortHeld(
                                                address.toString(), e.getMessage()));
                            }
                            return retry(address, listen, e);
                        });
    }

    private Uni<Void> retry(Address address, Function<Address, Uni<Void>> listen, Throwable last) {
        return mRetry.delay(last, mClock.instant())
                .map(
                        delay ->
                                mTimers.after(delay)
                                        .chain(() -> listen.apply(address))
                                        .onFailure()
                                        .recoverWithUni(e -> retry(address, listen, e)))
                .orElseGet(() -> Uni.createFrom().failure(last));
    }
}
