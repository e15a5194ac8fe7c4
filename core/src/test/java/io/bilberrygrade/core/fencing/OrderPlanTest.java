package io.bilberrygrade.core.fencing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.Model;
import io.bilberrygrade.core.fencing.EngineReport.Loaded;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class OrderPlanTest {
    private static final ModelId MODEL = new ModelId("model");
    private static final ModelId OTHER = new ModelId("other");
    private static final long VERSION = 9;
    private static final EndpointKind.Engine CHECKING =
            new EndpointKind.Engine(ImmutableSet.of(MODEL), 1_000, true);
    private static final EndpointKind.Engine IGNORING =
            new EndpointKind.Engine(ImmutableSet.of(MODEL), 1_000, false);
    private static final Deployment DEPLOYMENT =
            new Deployment(
                    VERSION,
                    ImmutableMap.of(),
                    ImmutableMap.of(),
                    ImmutableMap.of(MODEL, new Model(MODEL, 2, ImmutableSet.of("adapter"))),
                    ImmutableMap.of());

    @Test
    void issuesNoOrderWhenEngineMatchesPublishedState() {
        assertThat(OrderPlan.missing(DEPLOYMENT, CHECKING, report(2, VERSION, "mixed"))).isEmpty();
        assertThat(OrderPlan.missing(DEPLOYMENT, IGNORING, report(2, 0, "mixed"))).isEmpty();
    }

    @Test
    void sendsNewTokenToEngineThatChecksFencing() {
        assertThat(OrderPlan.missing(DEPLOYMENT, CHECKING, report(2, VERSION - 1, "mixed")))
                .containsExactly(new Order.SetRole("mixed"));
    }

    @Test
    void replacesVersionsRolesAndModels() {
        EngineReport report =
                new EngineReport(
                        ImmutableSet.of(
                                new Loaded(MODEL, Optional.empty(), 1),
                                new Loaded(OTHER, Optional.empty(), 1)),
                        "decode",
                        VERSION);

        assertThat(OrderPlan.missing(DEPLOYMENT, CHECKING, report))
                .containsExactly(
                        new Order.SetRole("mixed"),
                        new Order.LoadModel(MODEL, 2),
                        new Order.LoadAdapter(MODEL, "adapter", 2),
                        new Order.UnloadModel(OTHER));
    }

    @Test
    void selectsNextIssuerInRankWhenFirstIsNotAlive() {
        EndpointId engine = new EndpointId("engine-1");
        ImmutableList<InstanceId> published =
                ImmutableList.of(new InstanceId("a"), new InstanceId("b"), new InstanceId("c"));
        InstanceId first = IssuerRank.issuer(engine, published, i -> true).orElseThrow();

        InstanceId second =
                IssuerRank.issuer(engine, published, i -> !i.equals(first)).orElseThrow();

        assertThat(second).isNotEqualTo(first);
        assertThat(IssuerRank.issuer(engine, published.reverse(), i -> true)).contains(first);
        assertThat(IssuerRank.issuer(engine, Set.of(), i -> true)).isEmpty();
    }

    private static EngineReport report(long modelVersion, long token, String role) {
        return new EngineReport(
                ImmutableSet.of(
                        new Loaded(MODEL, Optional.empty(), modelVersion),
                        new Loaded(MODEL, Optional.of("adapter"), modelVersion)),
                role,
                token);
    }
}
