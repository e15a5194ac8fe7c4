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
 * Drives a fleet and its store through random writes, copies, cuts, pauses and restarts, and checks
 * after each step what the daemons believe. The operator and the endpoints write again what a copy
 * lacks within two seconds of the store's return.
 */
final class EraModel {
    private static final int DAEMONS = 4;
    private static final int ENDPOINTS = 4;
    private static final int STEP_MILLIS = 100;
    private static final int WRITTEN_AGAIN_MILLIS = 2_000;

    /**
     * Longest cut, then the ten seconds for which a daemon that missed the return doesn't believe
     * entries that had vanished, and two seconds more.
     */
    private static final int QUIET_STEPS = 180;

    /** Time for a change to reach a daemon that hears of it by others. */
    private static final Duration NOTICE = Duration.ofMillis(700);

    private final EraFleet mFleet;
    private final List<String> mFaults = new ArrayList<>();
    private final Map<Integer, Long> mVersions = new HashMap<>();
    private final Map<Integer, Set<EndpointRun>> mUsed = new HashMap<>();
    private final Map<Integer, Set<EndpointRun>> mLeftSeen = new HashMap<>();
    private final Map<String, Withdrawal> mWithdrawn = new HashMap<>();
    private final Map<String, RegisteredEndpoint> mLiving = new HashMap<>();
    private final Set<EndpointRun> mLeft = new HashSet<>();
    private long mVersion = 1;
    private ImmutableSet<String> mKeys = ImmutableSet.of("a", "k1");
    private Optional<Instant> mWriteAgainAt = Optional.empty();
    private Optional<Instant> mBackAt = Optional.empty();
    private long mOlderMillis;
    private Optional<Instant> mHealAt = Optional.empty();
    private int mNumber = 1;

    EraModel(long seed, UnaryOperator<PublishedState> view, ConfigDecoder decoder) {
        mFleet = new EraFleet(seed, view, decoder);
    }

    /** Plays random steps and then a quiet time; returns what was wrong. */
    List<String> play(int steps) {
        begin();
        for (int step = 0; step < steps && mFaults.isEmpty(); step++) {
            act(mFleet.mRandom.nextInt(24));
            tick(step);
        }
        for (int quiet = 0; quiet < QUIET_STEPS && mFaults.isEmpty(); quiet++) {
            tick(steps + quiet);
        }
        checkCaughtUp();
        return mFaults;
    }

    private void begin() {
        mFleet.mStore.publish(mVersion, mKeys);
        for (int i = 0; i < ENDPOINTS; i++) {
            live(CopiedStore.endpoint("e" + i, 1, false));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mFleet.start(i);
        }
        mFleet.pass(3_000);
    }

    private Instant now() {
        return mFleet.mTime.now();
    }

    private void act(int choice) {
        boolean up = mBackAt.isEmpty();
        boolean whole = mWriteAgainAt.isEmpty();
        switch (choice) {
            case 0, 1, 2 -> {
                if (up && whole) {
                    publish();
                }
            }
            case 3, 4 -> {
                if (up && whole) {
                    replaceEndpoint();
                }
            }
            case 5 -> {
                if (up && whole) {
                    mOlderMillis = 200 + mFleet.mRandom.nextLong(4_000);
                    mFleet.mStore.goAway();
                    mBackAt = Optional.of(now().plusMillis(50 + mFleet.mRandom.nextInt(900)));
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

    private EraMember member() {
        return mFleet.mMembers.get(mFleet.mRandom.nextInt(DAEMONS));
    }

    /** Publishes a version with another key in place of the last one. */
    private void publish() {
        String old = "k" + mNumber;
        mNumber++;
        mVersion += 1 + mFleet.mRandom.nextInt(3);
        mKeys = ImmutableSet.of("a", "k" + mNumber);
        mWithdrawn.put(old, new Withdrawal(mVersion, now()));
        mFleet.mStore.publish(mVersion, mKeys);
    }

    /** Has an endpoint leave, with or without saying so before, and another run take its place. */
    private void replaceEndpoint() {
        String id = "e" + mFleet.mRandom.nextInt(ENDPOINTS);
        RegisteredEndpoint old = mLiving.get(id);
        mLeft.add(old.run());
        if (mFleet.mRandom.nextBoolean()) {
            mFleet.mStore.register(CopiedStore.endpoint(id, old.startedAtMillis(), true));
        } else {
            mFleet.mStore.deregister(old.run());
        }
        mFleet.pass(20);
        live(CopiedStore.endpoint(id, old.startedAtMillis() + 1, false));
    }

    private void live(RegisteredEndpoint endpoint) {
        mLiving.put(endpoint.id().value(), endpoint);
        mFleet.mStore.register(endpoint);
    }

    private void cut(int number) {
        EraMember cut = mFleet.mMembers.get(number);
        mFleet.mStore.cut(cut.process());
        if (mFleet.mRandom.nextBoolean()) {
            for (int i = 0; i < DAEMONS; i++) {
                mFleet.mNetwork.cut(cut.address(), EraMember.addressOf(i));
                mFleet.mNetwork.cut(EraMember.addressOf(i), cut.address());
            }
        }
        mHealAt = Optional.of(now().plusMillis(mFleet.mRandom.nextInt(6_000)));
    }

    private void restart(int number) {
        mFleet.mMembers.get(number).process().kill();
        mFleet.start(number);
        mVersions.remove(number);
        mUsed.remove(number);
        mLeftSeen.remove(number);
    }

    private void tick(int step) {
        if (mBackAt.filter(t -> !now().isBefore(t)).isPresent()) {
            mBackAt = Optional.empty();
            mFleet.mStore.comeBackOlderBy(Duration.ofMillis(mOlderMillis));
            mWriteAgainAt = Optional.of(now().plusMillis(writtenAgainAfter()));
        }
        if (mWriteAgainAt.filter(t -> !now().isBefore(t)).isPresent()) {
            mWriteAgainAt = Optional.empty();
            writeAgain();
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

    private int writtenAgainAfter() {
        return 100 + mFleet.mRandom.nextInt(WRITTEN_AGAIN_MILLIS - 300);
    }

    private void writeAgain() {
        long copied = published();
        if (copied < mVersion) {
            mFleet.mStore.publish(mVersion, mKeys);
            mWithdrawn.replaceAll((k, w) -> w.version() > copied ? w.again(now()) : w);
        }
        mFleet.mStore.endpoints().values().stream()
                .filter(e -> mLeft.contains(e.run()))
                .forEach(e -> mFleet.mStore.deregister(e.run()));
        mLiving.values().forEach(mFleet.mStore::register);
    }

    private void check(int number, EraMember member, int step) {
        long before = mVersions.getOrDefault(number, -1L);
        if (member.version() < before) {
            fault(step, number, "went back from version %d to %d", before, member.version());
        }
        mVersions.put(number, member.version());
        mWithdrawn.forEach(
                (key, w) -> {
                    if (w.binds(member.version(), published(), now()) && member.honours(key)) {
                        fault(step, number, "honours %s, withdrawn by %d", key, w.version());
                    }
                });
        Set<EndpointRun> leftSeen = mLeftSeen.computeIfAbsent(number, n -> new HashSet<>());
        Set<EndpointRun> usable = member.usable();
        leftSeen.stream()
                .filter(usable::contains)
                .forEach(r -> fault(step, number, "uses %s again, which it saw leave", r));
        Set<EndpointRun> used = mUsed.computeIfAbsent(number, n -> new HashSet<>());
        used.stream().filter(r -> mLeft.contains(r) && !usable.contains(r)).forEach(leftSeen::add);
        used.addAll(usable);
    }

    private long published() {
        return mFleet.mStore.config().map(PublishedConfig::version).orElse(0L);
    }

    private void checkCaughtUp() {
        mFleet.pass(NOTICE.toMillis());
        Set<EndpointRun> living = new HashSet<>();
        mLiving.values().forEach(e -> living.add(e.run()));
        for (int i = 0; i < DAEMONS; i++) {
            EraMember member = mFleet.mMembers.get(i);
            boolean caughtUp =
                    member.version() == mVersion
                            && member.ready()
                            && member.usable().equals(living);
            if (mFaults.isEmpty() && !caughtUp) {
                fault(
                        -1,
                        i,
                        "hasn't caught up: version %d of %d, ready %s, uses %s",
                        member.version(),
                        mVersion,
                        member.ready(),
                        member.usable());
            }
        }
    }

    @FormatMethod
    private void fault(int step, int number, @FormatString String format, Object... arguments) {
        mFaults.add("step " + step + ", daemon " + number + " " + format.formatted(arguments));
    }

    /** Version that took a key away, and when that was written, last if the store had lost it. */
    private record Withdrawal(long version, Instant at) {
        Withdrawal again(Instant now) {
            return new Withdrawal(version, now);
        }

        /**
         * Returns whether a daemon must not honour the key: it has the version itself, or the store
         * has had it for the bound. A daemon that never heard of a version that the store has lost
         * can't know better.
         */
        boolean binds(long inForce, long published, Instant now) {
            return inForce >= version
                    || (published >= version && now.isAfter(at.plus(EraMember.STALENESS)));
        }
    }
}
