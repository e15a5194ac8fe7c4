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

/** Daemons before one store that can come back from an older copy. */
final class EraFleet {
    final VirtualTime mTime = new VirtualTime();
    final CopiedStore mStore = new CopiedStore(mTime);
    final List<EraMember> mMembers = new ArrayList<>();
    final UniformRandomProvider mRandom;
    final SimulatedNetwork mNetwork;
    private final UnaryOperator<PublishedState> mView;
    private final ConfigDecoder mDecoder;

    EraFleet(long seed) {
        this(seed, v -> v, Configs::decode);
    }

    /** Creates a fleet that sees the store through a view, and reads what peers hand on so. */
    EraFleet(long seed, UnaryOperator<PublishedState> view, ConfigDecoder decoder) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mNetwork = new SimulatedNetwork(mRandom);
        mView = view;
        mDecoder = decoder;
    }

    private static ImmutableList<Address> seeds() {
        return IntStream.range(0, 3)
                .mapToObj(EraMember::addressOf)
                .collect(ImmutableList.toImmutableList());
    }

    /** Starts a daemon, in place of the one with its number if there is one. */
    EraMember start(int number) {
        SimulatedProcess process = new SimulatedProcess(mTime, Duration.ZERO);
        EraMember member =
                new EraMember(
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
        mStore.register(CopiedStore.endpoint("e1", 1, false));
        mStore.register(CopiedStore.endpoint("e2", 1, false));
        IntStream.range(0, daemons).forEach(this::start);
        pass(3_000);
    }

    void pass(long millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    /** Has the store go away and come back older. */
    void copyBack(long downMillis, long olderMillis) {
        mStore.goAway();
        pass(downMillis);
        mStore.comeBackOlderBy(Duration.ofMillis(olderMillis));
    }
}
