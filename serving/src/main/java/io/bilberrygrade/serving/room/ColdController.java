package io.bilberrygrade.serving.room;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Identifier;
import io.bilberrygrade.core.ratelimit.DerivedLimits;
import io.bilberrygrade.core.room.ColdBounds;
import io.bilberrygrade.core.room.ColdRuns;
import io.bilberrygrade.core.room.ColdTraits;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.RoomEvent;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Limits the requests to cold endpoints, by their entries, their answers and what peers were told.
 * Every instance decides by itself which endpoints need a permit, so that the limit holds for
 * instances that are cut off as well; the aggregator grants the permits.
 */
public final class ColdController implements DerivedLimits {
    /** Longest time for which a peer's statement counts; a cold time is some seconds. */
    private static final Duration MAX_LEFT = Duration.ofHours(1);

    private final EndpointDirectory mDirectory;
    private final Supplier<Optional<ForwardingConfig>> mConfig;
    private final Optional<ColdBounds> mBounds;
    private final InstantSource mClock;
    private final InstantSource mTimeOfDay;
    private final EventLog mEvents;
    private final ColdRuns mRuns = new ColdRuns();
    private final Set<String> mLoggedFaults = new HashSet<>();
    private ImmutableSet<EndpointRun> mLogged = ImmutableSet.of();

    /**
     * Creates the controller.
     *
     * @param bounds bounds of the deployment; empty if cold endpoints aren't limited
     * @param timeOfDay clock that the start times of endpoints are compared with
     */
    public ColdController(
            EndpointDirectory directory,
            Supplier<Optional<ForwardingConfig>> config,
            Optional<ColdBounds> bounds,
            InstantSource clock,
            InstantSource timeOfDay,
            EventLog events) {
        mDirectory = directory;
        mConfig = config;
        mBounds = bounds;
        mClock = clock;
        mTimeOfDay = timeOfDay;
        mEvents = events;
    }

    @Override
    public OptionalDouble grantRate(EndpointRun run) {
        return mBounds.isEmpty()
                ? OptionalDouble.empty()
                : mDirectory
                        .find(run.id())
                        .filter(e -> e.run().equals(run) && isCold(e))
                        .map(e -> mBounds.get().grantRate(traits(e).perSecond()))
                        .map(OptionalDouble::of)
                        .orElseGet(OptionalDouble::empty);
    }

    @Override
    public ImmutableList<EndpointRun> runs() {
        return mBounds.isEmpty() || services().noneMatch(s -> s.cold().isStated())
                ? ImmutableList.of()
                : mDirectory.ids().stream()
                        .flatMap(id -> mDirectory.find(id).stream())
                        .filter(this::isCold)
                        .map(RegisteredEndpoint::run)
                        .collect(ImmutableList.toImmutableList());
    }

    private java.util.stream.Stream<ForwardService> services() {
        return mConfig.get().stream().flatMap(c -> c.services().values().stream());
    }

    private ColdTraits traits(RegisteredEndpoint endpoint) {
        return mConfig.get()
                .map(c -> c.services().get(endpoint.service()))
                .map(ForwardService::cold)
                .orElse(ColdTraits.NONE);
    }

    private boolean isCold(RegisteredEndpoint endpoint) {
        ColdTraits traits = traits(endpoint);
        return traits.isStated()
                && mRuns.isCold(
                        endpoint.run(),
                        traits,
                        mDirectory.coldUntil(endpoint.id()),
                        age(endpoint),
                        mClock.instant());
    }

    private Optional<Duration> age(RegisteredEndpoint endpoint) {
        return endpoint.startedAtMillis() <= 0
                ? Optional.empty()
                : Optional.of(
                        Duration.between(
                                Instant.ofEpochMilli(endpoint.startedAtMillis()),
                                mTimeOfDay.instant()));
    }

    /** Applies the time for which an endpoint's answer says that it stays cold. */
    public void onAnswer(EndpointRun run, Duration left, Instant sentAt) {
        if (mBounds.isPresent()) {
            mRuns.recordAnswer(run, left, sentAt, mClock.instant());
        }
    }

    /**
     * Returns what answers have stated, for a peer; null if there is nothing.
     *
     * @param ownOnly whether to leave out what peers passed on, which would look later each time
     */
    public List<ColdEntry> entries(boolean ownOnly) {
        ImmutableList<ColdEntry> entries =
                mRuns.left(ownOnly, mClock.instant()).entrySet().stream()
                        .map(
                                e ->
                                        new ColdEntry(
                                                e.getKey().id().value(),
                                                e.getKey().startedAtMillis(),
                                                e.getValue().toMillis()))
                        .collect(ImmutableList.toImmutableList());
        return entries.isEmpty() ? null : entries;
    }

    /** Applies the entries of a peer; null if it sent none. */
    public void onPeerEntries(List<ColdEntry> entries) {
        if (mBounds.isEmpty() || entries == null) {
            return;
        }
        entries.stream().filter(Objects::nonNull).forEach(this::merge);
    }

    private void merge(ColdEntry entry) {
        long millis = Math.min(entry.leftMillis(), MAX_LEFT.toMillis());
        if (millis > 0) {
            Identifier.tryCreate(entry.endpoint(), EndpointId::new)
                    .map(id -> new EndpointRun(id, entry.startedAtMillis()))
                    .ifPresent(r -> mRuns.merge(r, Duration.ofMillis(millis), mClock.instant()));
        }
    }

    /** Logs the endpoints that became cold or warm, and statements of services without effect. */
    public void logChanges() {
        if (mBounds.isEmpty()) {
            return;
        }
        ImmutableSet<EndpointRun> cold = ImmutableSet.copyOf(runs());
        Sets.difference(cold, mLogged).forEach(r -> log(r, true));
        Sets.difference(mLogged, cold).forEach(r -> log(r, false));
        mLogged = cold;
        services()
                .flatMap(s -> s.cold().faults().stream())
                .filter(mLoggedFaults::add)
                .forEach(f -> mEvents.record(new ForwardEvent.EntryUnreadable(f, 0)));
    }

    private void log(EndpointRun run, boolean cold) {
        Instant now = mClock.instant();
        Optional<RegisteredEndpoint> endpoint = mDirectory.find(run.id());
        mEvents.record(
                new RoomEvent.EndpointColdness(
                        run.id().value(),
                        cold,
                        mDirectory
                                .coldUntil(run.id())
                                .map(t -> Duration.between(now, t).toMillis())
                                .orElse(-1L),
                        endpoint.flatMap(this::age).map(Duration::toMillis).orElse(-1L),
                        grantRate(run).orElse(-1)));
    }
}
