package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.platform.ConfigSource;
import io.bilberrygrade.serving.platform.InstanceListSource;
import io.bilberrygrade.serving.wire.InstanceDocument;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Configuration service and instance list that can be down, stale or lagging. */
final class SimulatedPlatform {
    static final String CREDENTIAL = "fuzz-secret";
    static final String MODEL = "fuzz-model";

    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final String INVALID_CLASSES = "classes: [{id: short, share: 7}]";

    private final SimulatedNetwork mNetwork;
    private final List<String> mClasses = new ArrayList<>();
    private final Map<String, String> mOtherParts;
    private final ImmutableList<InstanceDocument> mInstances;
    private Optional<Integer> mStaleVersion = Optional.empty();
    private boolean mDown;
    private long mLatestValidVersion;

    SimulatedPlatform(
            SimulatedNetwork network,
            Map<String, String> otherParts,
            ImmutableList<InstanceDocument> instances) {
        mNetwork = network;
        mOtherParts = otherParts;
        mInstances = instances;
        publish();
    }

    /** Publishes a valid version. */
    void publish() {
        mClasses.add(
                "classes: [{id: short, time_to_first_token: 1s, share: 1.0}] # " + mClasses.size());
        mLatestValidVersion = mClasses.size();
    }

    /** Publishes an invalid version, which daemons must reject. */
    void publishInvalid() {
        mClasses.add(INVALID_CLASSES);
    }

    void setDown(boolean down) {
        mDown = down;
    }

    /**
     * Starts or stops serving the version before the latest one, whatever is published meanwhile.
     */
    void setStale(boolean stale) {
        mStaleVersion = stale ? Optional.of(Math.max(1, mClasses.size() - 1)) : Optional.empty();
    }

    /** Returns the latest valid version. */
    long latestValidVersion() {
        return mLatestValidVersion;
    }

    ConfigSource configOf(SimulatedProcess caller) {
        return new ConfigSource() {
            @Override
            public Uni<ManifestDocument> watch(long after, Duration wait) {
                return Uni.createFrom()
                        .emitter(e -> caller.schedule(delay(), () -> poll(e, caller, after, wait)));
            }

            @Override
            public Uni<Buffer> read(PartReference part) {
                return answer(caller, () -> part(part.key(), version()));
            }
        };
    }

    InstanceListSource instancesOf(SimulatedProcess caller) {
        return () -> answer(caller, () -> new InstanceListDocument(1, mInstances));
    }

    private <T> Uni<T> answer(SimulatedProcess caller, Supplier<T> value) {
        return Uni.createFrom()
                .emitter(
                        e ->
                                caller.schedule(
                                        delay(),
                                        () -> {
                                            if (mDown) {
                                                e.fail(failure());
                                            } else {
                                                e.complete(value.get());
                                            }
                                        }));
    }

    private void poll(
            UniEmitter<? super ManifestDocument> emitter,
            SimulatedProcess caller,
            long after,
            Duration wait) {
        if (mDown) {
            emitter.fail(failure());
        } else if (version() > after || !wait.isPositive()) {
            emitter.complete(manifest(version()));
        } else {
            caller.schedule(
                    POLL_INTERVAL, () -> poll(emitter, caller, after, wait.minus(POLL_INTERVAL)));
        }
    }

    private int version() {
        return mStaleVersion.orElse(mClasses.size());
    }

    private ManifestDocument manifest(int version) {
        List<PartReference> parts = new ArrayList<>();
        parts.add(reference("classes", version));
        mOtherParts.keySet().forEach(key -> parts.add(reference(key, version)));
        return new ManifestDocument(version, parts);
    }

    private PartReference reference(String key, int version) {
        String digest = Hashing.sha256().hashBytes(part(key, version).getBytes()).toString();
        return new PartReference(key, version, digest);
    }

    private Buffer part(String key, int version) {
        return Buffer.buffer(
                key.equals("classes") ? mClasses.get(version - 1) : mOtherParts.get(key));
    }

    private Duration delay() {
        return mNetwork.delay();
    }

    private static CallException failure() {
        return new CallException(
                Step.CONFIGURATION, "platform", Delivery.NOT_DELIVERED, "simulated");
    }
}
