package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Store on virtual time that can stop and be restored from an earlier copy of itself, in the next
 * era, so that revisions are reused.
 */
final class RestoredStore {
    static final ServiceId SERVICE = new ServiceId("s");
    private static final Duration ANSWER_TIME = Duration.ofMillis(4);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);

    /** Time after which a caller sends a call again on a new connection. */
    private static final Duration RECONNECT_TIME = Duration.ofMillis(400);

    private final VirtualTime mTime;
    private final SimulatedProcess mProcess;
    private final TreeMap<Instant, Content> mSnapshots = new TreeMap<>();
    private final TreeMap<Long, PublishedState.Change> mChanges = new TreeMap<>();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final Set<SimulatedProcess> mDisconnected = new HashSet<>();
    private final Set<SimulatedProcess> mCallers = new HashSet<>();
    private final Set<SimulatedProcess> mSilenced = new HashSet<>();
    private final List<Watcher> mLost = new ArrayList<>();
    private Content mContent;
    private long mEra = 1;
    private long mHistoryFrom;
    private boolean mDown;

    RestoredStore(VirtualTime time) {
        mTime = time;
        mProcess = new SimulatedProcess(time, Duration.ZERO);
        mContent = new Content(10, 10, Optional.empty(), ImmutableMap.of(), ImmutableMap.of());
        mHistoryFrom = 10;
    }

    static RegisteredEndpoint endpoint(String id, long startedAt, boolean leaving) {
        return new RegisteredEndpoint(
                new EndpointId(id),
                startedAt,
                SERVICE,
                new Address("10.1.0.1", 80),
                new DataCentreId("a"),
                4,
                leaving);
    }

    long era() {
        return mEra;
    }

    Optional<PublishedConfig> config() {
        return mContent.config();
    }

    ImmutableMap<EndpointId, RegisteredEndpoint> endpoints() {
        return mContent.endpoints();
    }

    void publish(long version, ImmutableSet<String> keys) {
        PublishedConfig config = Configs.of(version, keys);
        long revision = mContent.revision() + 1;
        applyWrite(
                new Content(
                        revision,
                        revision,
                        Optional.of(config),
                        mContent.endpoints(),
                        mContent.marks()),
                new PublishedState.Change.Config(new StorePosition(mEra, revision), config));
    }

    void register(RegisteredEndpoint endpoint) {
        Map<EndpointId, RegisteredEndpoint> endpoints = new HashMap<>(mContent.endpoints());
        endpoints.put(endpoint.id(), endpoint);
        applyWrite(mContent.with(endpoints), new PublishedState.Change.Endpoint(endpoint));
    }

    void deregister(EndpointRun run) {
        Map<EndpointId, RegisteredEndpoint> endpoints = new HashMap<>(mContent.endpoints());
        if (endpoints.remove(run.id()) != null) {
            applyWrite(mContent.with(endpoints), new PublishedState.Change.EndpointGone(run.id()));
        }
    }

    /** Writes the mark of an evacuated data centre. */
    void evacuate(String dataCentre) {
        writeMark(new DataCentreId(dataCentre), true);
    }

    /** Removes the mark of a data centre. */
    void withdraw(String dataCentre) {
        writeMark(new DataCentreId(dataCentre), false);
    }

    private void writeMark(DataCentreId dataCentre, boolean marked) {
        StorePosition at = position().at(mContent.revision() + 1);
        Map<DataCentreId, Long> marks = new HashMap<>(mContent.marks());
        marks.remove(dataCentre);
        if (marked) {
            marks.put(dataCentre, at.revision());
        }
        applyWrite(
                new Content(
                        at.revision(),
                        mContent.configRevision(),
                        mContent.config(),
                        mContent.endpoints(),
                        ImmutableMap.copyOf(marks)),
                new PublishedState.Change.Evacuation(dataCentre, at, marked));
    }

    /** Drops the history, so that watches have to start again after a complete read. */
    void compact() {
        mContent =
                new Content(
                        mContent.revision() + 1,
                        mContent.configRevision(),
                        mContent.config(),
                        mContent.endpoints(),
                        mContent.marks());
        mChanges.clear();
        mHistoryFrom = mContent.revision();
        List.copyOf(mWatchers).forEach(this::answer);
    }

    private void applyWrite(Content content, PublishedState.Change change) {
        mContent = content;
        mSnapshots.put(mTime.now(), content);
        mChanges.put(content.revision(), change);
        List.copyOf(mWatchers).forEach(this::answer);
    }

    /** Stops answering; fails pending watches. */
    void stop() {
        mDown = true;
        List<Watcher> waiting = List.copyOf(mWatchers);
        mWatchers.clear();
        waiting.forEach(w -> w.emitter().fail(failure()));
    }

    /** Answers again in the next era, with the content that it held some time ago. */
    void restoreCopyOfAge(Duration age) {
        mDown = false;
        mEra++;
        Map.Entry<Instant, Content> copy = mSnapshots.floorEntry(mTime.now().minus(age));
        mContent = copy == null ? mSnapshots.firstEntry().getValue() : copy.getValue();
        mSnapshots.tailMap(mTime.now().minus(age), false).clear();
        mChanges.clear();
        mHistoryFrom = mContent.revision();
    }

    /** Answers again with unchanged content. */
    void resume() {
        mDown = false;
    }

    void cut(SimulatedProcess process) {
        mDisconnected.add(process);
    }

    /** Lets the open connections of all callers go silent for good; new ones work. */
    void silenceOpenConnections() {
        mSilenced.addAll(mCallers);
        mLost.addAll(mWatchers);
        mWatchers.clear();
    }

    /** Opens new connections of a caller and sends its lost watches again. */
    private void reconnect(SimulatedProcess caller) {
        mSilenced.remove(caller);
        List<Watcher> lost = mLost.stream().filter(w -> w.process().equals(caller)).toList();
        mLost.removeAll(lost);
        lost.forEach(this::begin);
    }

    private void begin(Watcher watcher) {
        mWatchers.add(watcher);
        answer(watcher);
    }

    void heal() {
        mDisconnected.clear();
    }

    private static CallException failure() {
        return new CallException(
                Step.CONFIGURATION, "store", Delivery.MAY_HAVE_RUN, "down for the test");
    }

    /** Returns the store as seen by a process. */
    PublishedState of(SimulatedProcess process) {
        return new View(process);
    }

    private ImmutableMap<DataCentreId, StorePosition> marks() {
        return ImmutableMap.copyOf(Maps.transformValues(mContent.marks(), r -> position().at(r)));
    }

    private StorePosition position() {
        return new StorePosition(mEra, mContent.revision());
    }

    private void answer(Watcher watcher) {
        long after = watcher.after();
        Optional<PublishedState.Changes> changes =
                after < mHistoryFrom || after > mContent.revision()
                        ? Optional.of(
                                new PublishedState.Changes(
                                        position().at(0), true, ImmutableList.of()))
                        : after == mContent.revision()
                                ? Optional.empty()
                                : Optional.of(
                                        new PublishedState.Changes(
                                                position(),
                                                false,
                                                ImmutableList.copyOf(
                                                        mChanges.tailMap(after, false).values())));
        changes.ifPresent(
                c -> {
                    mWatchers.remove(watcher);
                    mTime.schedule(
                            watcher.process(),
                            ANSWER_TIME,
                            () -> {
                                if (!mDisconnected.contains(watcher.process())) {
                                    watcher.emitter().complete(c);
                                }
                            });
                });
    }

    private record Watcher(
            SimulatedProcess process,
            long after,
            UniEmitter<? super PublishedState.Changes> emitter) {}

    private record Content(
            long revision,
            long configRevision,
            Optional<PublishedConfig> config,
            ImmutableMap<EndpointId, RegisteredEndpoint> endpoints,
            ImmutableMap<DataCentreId, Long> marks) {
        Content with(Map<EndpointId, RegisteredEndpoint> newer) {
            return new Content(
                    revision + 1, configRevision, config, ImmutableMap.copyOf(newer), marks);
        }
    }

    private final class View implements PublishedState {
        private final SimulatedProcess mCaller;

        View(SimulatedProcess caller) {
            mCaller = caller;
            mCallers.add(caller);
        }

        @Override
        public void reconnect() {
            RestoredStore.this.reconnect(mCaller);
        }

        private <T> Uni<T> call(java.util.function.Supplier<T> answer) {
            return Uni.createFrom()
                    .emitter(
                            e -> {
                                if (mDisconnected.contains(mCaller)) {
                                    mTime.schedule(mCaller, CALL_TIMEOUT, () -> e.fail(failure()));
                                    return;
                                }
                                if (mSilenced.contains(mCaller)) {
                                    mTime.schedule(
                                            mCaller,
                                            RECONNECT_TIME,
                                            () -> {
                                                reconnect();
                                                call(answer).subscribe().with(e::complete, e::fail);
                                            });
                                    return;
                                }
                                Optional<T> result =
                                        mDown ? Optional.empty() : Optional.of(answer.get());
                                mTime.schedule(
                                        mCaller,
                                        ANSWER_TIME,
                                        () ->
                                                result.ifPresentOrElse(
                                                        e::complete, () -> e.fail(failure())));
                            });
        }

        @Override
        public Uni<ConfigReading> config(StorePosition known) {
            return call(
                    () -> {
                        StorePosition at = position().at(mContent.configRevision());
                        Optional<PublishedConfig> config =
                                mContent.config().filter(c -> !at.equals(known));
                        return new ConfigReading(
                                mContent.config().map(c -> at), config, position());
                    });
        }

        @Override
        public Uni<EndpointsReading> endpoints() {
            return call(
                    () ->
                            new EndpointsReading(
                                    position(),
                                    ImmutableList.copyOf(mContent.endpoints().values()),
                                    ImmutableList.of(),
                                    Optional.of(marks())));
        }

        @Override
        public Uni<Changes> watch(long afterRevision, Duration wait) {
            return Uni.createFrom()
                    .emitter(
                            e -> {
                                if (mDisconnected.contains(mCaller) || mDown) {
                                    mTime.schedule(
                                            mCaller,
                                            mDown ? ANSWER_TIME : CALL_TIMEOUT,
                                            () -> e.fail(failure()));
                                    return;
                                }
                                Watcher watcher = new Watcher(mCaller, afterRevision, e);
                                if (mSilenced.contains(mCaller)) {
                                    mLost.add(watcher);
                                    return;
                                }
                                mTime.schedule(
                                        mProcess,
                                        wait,
                                        () -> {
                                            if (mWatchers.remove(watcher)) {
                                                e.complete(
                                                        new Changes(
                                                                position(),
                                                                false,
                                                                ImmutableList.of()));
                                            }
                                        });
                                begin(watcher);
                            });
        }
    }
}
