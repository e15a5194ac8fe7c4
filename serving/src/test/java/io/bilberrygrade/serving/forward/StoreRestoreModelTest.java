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
 * Runs random steps of a fleet on a store that is restored from older copies. A run with an
 * injected fault (answers without the era) shows that the checks detect violations.
 */
final class StoreRestoreModelTest {
    private static final int STEPS = 600;
    private static final int SEEDS = 60;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHold(long seed) {
        assertThat(new StoreRestoreModel(seed, v -> v, Configs::decode).play(STEPS)).isEmpty();
    }

    @Test
    void violationsAreFoundWhenAnswersCarryNoEra() {
        assertThat(
                        seeds().boxed()
                                .flatMap(
                                        s ->
                                                new StoreRestoreModel(
                                                                s,
                                                                EraHidingStore::new,
                                                                Configs::decode)
                                                        .play(STEPS).stream()))
                .isNotEmpty();
    }

    /** Store whose answers carry no era. */
    private record EraHidingStore(PublishedState store) implements PublishedState {
        private static StorePosition withoutEra(StorePosition position) {
            return new StorePosition(0, position.revision());
        }

        @Override
        public Uni<ConfigReading> config(StorePosition known) {
            return store.config(StorePosition.NONE)
                    .map(
                            r ->
                                    new ConfigReading(
                                            r.at().map(EraHidingStore::withoutEra),
                                            r.config(),
                                            withoutEra(r.store())));
        }

        @Override
        public Uni<EndpointsReading> endpoints() {
            return store.endpoints()
                    .map(r -> new EndpointsReading(withoutEra(r.store()), r.entries()));
        }

        @Override
        public Uni<Changes> watch(long afterRevision, Duration wait) {
            return store.watch(afterRevision, wait)
                    .map(c -> new Changes(withoutEra(c.store()), c.historyLost(), c.changes()));
        }

        @Override
        public void reconnect() {
            store.reconnect();
        }
    }
}
