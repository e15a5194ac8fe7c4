package io.bilberrygrade.serving.metrics;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.CustomMappingSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/** Renders a registry in the Prometheus text format; parts of a metric's name become labels. */
public final class PrometheusPage {
    /** Content type of the page. */
    public static final String CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

    private static final String PREFIX = "bilberrygrade_";
    private static final ImmutableMap<String, String> CLASS_AND_BAND =
            ImmutableMap.of("class", "${0}", "band", "${1}");
    private static final List<MapperConfig> MAPPINGS =
            List.of(
                    mapping("time_to_first_token.*.*", "time_to_first_token", CLASS_AND_BAND),
                    mapping("slowdown_to_target.*.*", "slowdown_to_target_x1000", CLASS_AND_BAND),
                    mapping("slowdown.of_short", "slowdown_of_short_x1000", ImmutableMap.of()),
                    mapping(
                            "outcomes.*.*",
                            "outcomes_total",
                            ImmutableMap.of("class", "${0}", "outcome", "${1}")),
                    mapping("refusals.*", "refusals_total", ImmutableMap.of("reason", "${0}")),
                    mapping(
                            "evacuations.*",
                            "evacuations_total",
                            ImmutableMap.of("change", "${0}")),
                    mapping(
                            "answers_cut.*",
                            "answers_cut_total",
                            ImmutableMap.of("reason", "${0}")),
                    mapping("unknowns.*", "unknowns_total", ImmutableMap.of("reason", "${0}")),
                    mapping(
                            "attempts.*",
                            "failed_attempts_total",
                            ImmutableMap.of("delivery", "${0}")),
                    mapping("admissions.*", "admissions_total", ImmutableMap.of("cause", "${0}")),
                    mapping(
                            "cost_learned.*",
                            "cost_learned_total",
                            ImmutableMap.of("subject", "${0}")),
                    mapping(
                            "cost_placements.*",
                            "cost_placements_total",
                            ImmutableMap.of("source", "${0}")),
                    mapping(
                            "cost_decile.*",
                            "cost_decile_total",
                            ImmutableMap.of("decile", "${0}")),
                    mapping("control.*.*", "control_${0}_total", ImmutableMap.of("step", "${1}")),
                    mapping("daemon.*", "${0}", ImmutableMap.of()));

    private final CollectorRegistry mCollectors = new CollectorRegistry();

    /** Creates the page of a registry. */
    public PrometheusPage(MetricRegistry registry) {
        mCollectors.register(
                new DropwizardExports(registry, new CustomMappingSampleBuilder(MAPPINGS)));
    }

    /** Returns the page. */
    public String text() {
        StringWriter out = new StringWriter();
        try {
            TextFormat.write004(out, mCollectors.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString();
    }

    private static MapperConfig mapping(String match, String name, Map<String, String> labels) {
        return new MapperConfig(match, PREFIX + name, labels);
    }
}
