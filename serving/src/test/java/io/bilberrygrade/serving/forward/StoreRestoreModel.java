package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Drives a fleet and its store through random writes, restores, partitions, pauses and restarts,
 * and checks the invariants of all daemons after each step. The operator and the endpoints rewrite
 * the entries that a restored copy lacks within two seconds.
 */
final class StoreRestoreModel {
    private static final int DAEMONS = 4;
    private static final int ENDPOINTS = 4;
    private static final int STEP_MILLIS = 100;
    private static final int MAX_REWRITE_DELAY_MILLIS = 2_000;

    /**
     * Longest partition, then the ten seconds for which a daemon that missed the restore ignores
     * entries that had vanished, and two seconds more.
     */
    private static final int QUIET_STEPS = 180;

    /** Time for a change to reach a daemon through its peers. */
    private static final Duration PROPAGATION_TIME = Duration.ofMillis(700);

    private final RestoreTestFleet mFleet;
    private final List<String> mViolations = new ArrayList<>();
    private final Map<Integer, Long> mVersions = new HashMap<>();
    private final Map<Integer, Set<EndpointRun>> mUsed = new HashMap<>();
    private final Map<Integer, Set<EndpointRun>> mSeenLeaving = new HashMap<>();
    private final Map<String, Withdrawal> mWithdrawn = new HashMap<>();
    private final Map<String, RegisteredEndpoint> mRunning = new HashMap<>();
    private final Set<EndpointRun> mLeft = new HashSet<>();
    private long mVersion = 1;
    private ImmutableSet<String> mKeys = ImmutableSet.of("a", "k1");
    private Optional<Instant> mRewriteAt = Optional.empty();
    private Optional<Instant> mRestoreAt = Optional.empty();
    private long mCopyAgeMillis;
    private Optional<Instant> mHealAt = Optional.empty();
    private int mKeyNumber = 1;

    StoreRestoreModel(long seed, UnaryOperator<PublishedState> view, ConfigDecoder decoder) {
        mFleet = new RestoreTestFleet(seed, view, decoder);
    }

    /** Runs random steps and then a quiet period; returns the violations found. */
    List<String> play(int steps) {
        begin();
        for (int step = 0; step < steps && mViolations.isEmpty(); step++) {
            performAction(mFleet.mRandom.nextInt(24));
            tick(step);
        }
        for (int quiet = 0; quiet < QUIET_STEPS && mViolations.isEmpty(); quiet++) {
            tick(steps + quiet);
        }
        checkCaughtUp();
        return mViolations;
    }

    private void begin() {
        mFleet.mStore.publish(mVersion, mKeys);
        for (int i = 0; i < ENDPOINTS; i++) {
            startEndpoint(RestoredStore.endpoint("e" + i, 1, false));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mFleet.start(i);
        }
        mFleet.pass(3_000);
    }

    private Instant now() {
        return mFleet.mTime.now();
    }

    private void performAction(int choice) {
        boolean storeUp = mRestoreAt.isEmpty();
        boolean storeComplete = mRewriteAt.isEmpty();
        switch (choice) {
            case 0, 1, 2 -> {
                if (storeUp && storeComplete) {
                    publish();
                }
            }
            case 3, 4 -> {
                if (storeUp && storeComplete) {
                    replaceEndpoint();
                }
            }
            case 5 -> {
                if (storeUp && storeComplete) {
                    mCopyAgeMillis = 200 + mFleet.mRandom.nextLong(4_000);
                    mFleet.mStore.stop();
                    mRestoreAt = Optional.of(now().plusMillis(50 + mFleet.mRandom.nextInt(900)));
                }
            }
            case 6 -> {
                if (mHealAt.isEmpty()) {
                    cut(mFleet.mRandom.nextInt(DAEMONS));
                }
            }
            case 7 -> member().process().pause(Duration.ofMillis(mFleet.mRandom.nextInt(3_000)));
            case 8 -> restart(mFleet.mRandom.nextInt(DAEMONS));
            default -> {}
        }
    }

    private RestoreTestDaemon member() {
        return mFleet.mMembers.get(mFleet.mRandom.nextInt(DAEMONS));
    }

    /** Publishes a version in which another key replaces the last one. */
    private void publish() {
        String old = "k" + mKeyNumber;
        mKeyNumber++;
        mVersion += 1 + mFleet.mRandom.nextInt(3);
        mKeys = ImmutableSet.of("a", "k" + mKeyNumber);
        mWithdrawn.put(old, new Withdrawal(mVersion, now()));
        mFleet.mStore.publish(mVersion, mKeys);
    }

    /** Replaces an endpoint by a new run, with or without announcing the leave. */
    private void replaceEndpoint() {
        String id = "e" + mFleet.mRandom.nextInt(ENDPOINTS);
        RegisteredEndpoint old = mRunning.get(id);
        mLeft.add(old.run());
        if (mFleet.mRandom.nextBoolean()) {
            mFleet.mStore.register(RestoredStore.endpoint(id, old.startedAtMillis(), true));
        } else {
            mFleet.mStore.deregister(old.run());
        }
        mFleet.pass(20);
        startEndpoint(RestoredStore.endpoint(id, old.startedAtMillis() + 1, false));
    }

    private void startEndpoint(RegisteredEndpoint endpoint) {
        mRunning.put(endpoint.id().value(), endpoint);
        mFleet.mStore.register(endpoint);
    }

    private void cut(int number) {
        RestoreTestDaemon cut = mFleet.mMembers.get(number);
        mFleet.mStore.cut(cut.process());
        if (mFleet.mRandom.nextBoolean()) {
            for (int i = 0; i < DAEMONS; i++) {
                mFleet.mNetwork.cut(cut.address(), RestoreTestDaemon.addressOf(i));
                mFleet.mNetwork.cut(RestoreTestDaemon.addressOf(i), cut.address());
            }
        }
        mHealAt = Optional.of(now().plusMillis(mFleet.mRandom.nextInt(6_000)));
    }

    private void restart(int number) {
        mFleet.mMembers.get(number).process().kill();
        mFleet.start(number);
        mVersions.remove(number);
        mUsed.remove(number);
        mSeenLeaving.remove(number);
    }

    private void tick(int step) {
        if (mRestoreAt.filter(t -> !now().isBefore(t)).isPresent()) {
            mRestoreAt = Optional.empty();
            mFleet.mStore.restoreCopyOfAge(Duration.ofMillis(mCopyAgeMillis));
            mRewriteAt = Optional.of(now().plusMillis(rewriteDelayMillis()));
        }
        if (mRewriteAt.filter(t -> !now().isBefore(t)).isPresent()) {
            mRewriteAt = Optional.empty();
            rewriteLost();
        }
        if (mHealAt.filter(t -> !now().isBefore(t)).isPresent()) {
            mHealAt = Optional.empty();
            mFleet.mStore.heal();
            mFleet.mNetwork.heal();
        }
        mFleet.pass(STEP_MILLIS);
        for (int i = 0; i < DAEMONS; i++) {
            check(i, mFleet.mMembers.get(i), step);
        }
    }

    private int rewriteDelayMillis() {
        return 100 + mFleet.mRandom.nextInt(MAX_REWRITE_DELAY_MILLIS - 300);
    }

    private void rewriteLost() {
        long copied = published();
        if (copied < mVersion) {
            mFleet.mStore.publish(mVersion, mKeys);
            mWithdrawn.replaceAll((k, w) -> w.version() > copied ? w.rewrittenAt(now()) : w);
        }
        mFleet.mStore.endpoints().values().stream()
                .filter(e -> mLeft.contains(e.run()))
                .forEach(e -> mFleet.mStore.deregister(e.run()));
        mRunning.values().forEach(mFleet.mStore::register);
    }

    private void check(int number, RestoreTestDaemon member, int step) {
        long before = mVersions.getOrDefault(number, -1L);
        if (member.version() < before) {
            violation(step, number, "went back from version %d to %d", before, member.version());
        }
        mVersions.put(number, member.version());
        mWithdrawn.forEach(
                (key, w) -> {
                    if (w.forbids(member.version(), published(), now()) && member.honours(key)) {
                        violation(step, number, "honours %s, withdrawn by %d", key, w.version());
                    }
                });
        Set<EndpointRun> seenLeaving = mSeenLeaving.computeIfAbsent(number, n -> new HashSet<>());
        Set<EndpointRun> usable = member.usable();
        seenLeaving.stream()
                .filter(usable::contains)
                .forEach(r -> violation(step, number, "uses %s again, which it saw leave", r));
        Set<EndpointRun> used = mUsed.computeIfAbsent(number, n -> new HashSet<>());
        used.stream()
                .filter(r -> mLeft.contains(r) && !usable.contains(r))
                .forEach(seenLeaving::add);
        used.addAll(usable);
    }

    private long published() {
        return mFleet.mStore.config().map(PublishedConfig::version).orElse(0L);
    }

    private void checkCaughtUp() {
        mFleet.pass(PROPAGATION_TIME.toMillis());
        Set<EndpointRun> running = new HashSet<>();
        mRunning.values().forEach(e -> running.add(e.run()));
        for (int i = 0; i < DAEMONS; i++) {
            RestoreTestDaemon member = mFleet.mMembers.get(i);
            boolean caughtUp =
                    member.version() == mVersion
                            && member.isReady()
                            && member.usable().equals(running);
            if (mViolations.isEmpty() && !caughtUp) {
                violation(
                        -1,
                        i,
                        "hasn't caught up: version %d of %d, ready %s, uses %s",
                        member.version(),
                        mVersion,
                        member.isReady(),
                        member.usable());
            }
        }
    }

    @FormatMethod
    private void violation(int step, int number, @FormatString String format, Object... arguments) {
        mViolations.add("step " + step + ", daemon " + number + " " + format.formatted(arguments));
    }

    /**
     * Version that revoked a key, and the time at which it was last written, which a rewrite after
     * a restore renews.
     */
    private record Withdrawal(long version, Instant at) {
        Withdrawal rewrittenAt(Instant now) {
            return new Withdrawal(version, now);
        }

        /**
         * Returns whether a daemon must reject the key: it has the version itself, or the store has
         * had it for the staleness limit. A daemon that never received a version before the store
         * lost it has no means to learn of it.
         */
        boolean forbids(long inForce, long published, Instant now) {
            return inForce >= version
                    || (published >= version && now.isAfter(at.plus(RestoreTestDaemon.STALENESS)));
        }
    }
}
