package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.StorePosition;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random steps of a fleet before a store that comes back from older copies; what is found with a
 * planted fault shows that the checks see it.
 */
final class EraModelTest {
    private static final int STEPS = 600;
    private static final int SEEDS = 60;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void beliefsHold(long seed) {
        assertThat(new EraModel(seed, v -> v, Configs::decode).play(STEPS)).isEmpty();
    }

    @Test
    void daemonsThatDoNotReadTheEraAreFound() {
        assertThat(
                        seeds().boxed()
                                .flatMap(
                                        s ->
                                                new EraModel(s, EraBlind::new, Configs::decode)
                                                        .play(STEPS).stream()))
                .isNotEmpty();
    }

    /** Store whose answers name no era. */
    private record EraBlind(PublishedState store) implements PublishedState {
        private static StorePosition blind(StorePosition position) {
            return new StorePosition(0, position.revision());
        }

        @Override
        public Uni<ConfigReading> config(StorePosition known) {
            return store.config(StorePosition.NONE)
                    .map(
                            r ->
                                    new ConfigReading(
                                            r.at().map(EraBlind::blind),
                                            r.config(),
                                            blind(r.store())));
        }

        @Override
        public Uni<EndpointsReading> endpoints() {
            return store.endpoints().map(r -> new EndpointsReading(blind(r.store()), r.entries()));
        }

        @Override
        public Uni<Changes> watch(long afterRevision, Duration wait) {
            return store.watch(afterRevision, wait)
                    .map(c -> new Changes(blind(c.store()), c.historyLost(), c.changes()));
        }
    }
}
