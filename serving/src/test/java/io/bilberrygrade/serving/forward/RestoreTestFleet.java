package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.fuzz.SimulatedNetwork;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Daemons on one store that can be restored from an older copy. */
final class RestoreTestFleet {
    final VirtualTime mTime = new VirtualTime();
    final RestoredStore mStore = new RestoredStore(mTime);
    final List<RestoreTestDaemon> mMembers = new ArrayList<>();
    final UniformRandomProvider mRandom;
    final SimulatedNetwork mNetwork;
    private final UnaryOperator<PublishedState> mView;
    private final ConfigDecoder mDecoder;

    RestoreTestFleet(long seed) {
        this(seed, v -> v, Configs::decode);
    }

    /**
     * Creates a fleet that reads the store through {@code view} and decodes peers' documents with
     * {@code decoder}.
     */
    RestoreTestFleet(long seed, UnaryOperator<PublishedState> view, ConfigDecoder decoder) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mNetwork = new SimulatedNetwork(mRandom);
        mView = view;
        mDecoder = decoder;
    }

    private static ImmutableList<Address> seeds() {
        return IntStream.range(0, 3)
                .mapToObj(RestoreTestDaemon::addressOf)
                .collect(ImmutableList.toImmutableList());
    }

    /** Starts a daemon; replaces the one with the same number if there is one. */
    RestoreTestDaemon start(int number) {
        SimulatedProcess process = new SimulatedProcess(mTime, Duration.ZERO);
        RestoreTestDaemon member =
                new RestoreTestDaemon(
                        number,
                        seeds(),
                        mTime,
                        mView.apply(mStore.of(process)),
                        process,
                        mNetwork,
                        mDecoder,
                        mRandom);
        if (number < mMembers.size()) {
            mMembers.set(number, member);
        } else {
            mMembers.add(member);
        }
        member.start();
        return member;
    }

    /** Publishes version 1 with the keys a and b, registers two endpoints and starts daemons. */
    void begin(int daemons) {
        mStore.publish(1, ImmutableSet.of("a", "b"));
        mStore.register(RestoredStore.endpoint("e1", 1, false));
        mStore.register(RestoredStore.endpoint("e2", 1, false));
        IntStream.range(0, daemons).forEach(this::start);
        pass(3_000);
    }

    void pass(long millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    /** Stops the store and restores it from an older copy. */
    void restoreStore(long downMillis, long olderMillis) {
        mStore.stop();
        pass(downMillis);
        mStore.restoreCopyOfAge(Duration.ofMillis(olderMillis));
    }
}
