package io.bilberrygrade.serving.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.request.Step;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks the names and labels under which metrics are published. */
final class PrometheusPageTest {
    private final MetricRegistry mRegistry = new MetricRegistry();

    @Test
    void convertsNamePartsToLabels() {
        mRegistry
                .timer("time_to_first_token.quick-question.up-to-4k")
                .update(Duration.ofMillis(250));
        mRegistry.counter("outcomes.quick-question.done").inc();
        mRegistry.counter("refusals.overloaded").inc(2);

        assertThat(new PrometheusPage(mRegistry).text())
                .contains("bilberrygrade_time_to_first_token{")
                .contains("class=\"quick-question\"")
                .contains("band=\"up-to-4k\"")
                .contains("} 0.25")
                .contains("bilberrygrade_outcomes_total{")
                .contains("bilberrygrade_refusals_total{reason=\"overloaded\",} 2.0");
    }

    @Test
    void countsControlTrafficOnly() {
        ControlTraffic traffic = new ControlTraffic(mRegistry);

        traffic.sent(Step.PEER_CALL, 100);
        traffic.received(Step.CONFIGURATION, 50);
        traffic.sent(Step.DISPATCH, 1_000);

        assertThat(new PrometheusPage(mRegistry).text())
                .contains("bilberrygrade_control_bytes_sent_total{step=\"peer_call\",} 100.0")
                .contains("bilberrygrade_control_messages_sent_total{step=\"peer_call\",} 1.0")
                .contains("bilberrygrade_control_bytes_received_total{step=\"configuration\",} 50")
                .doesNotContain("1000")
                .doesNotContain("dispatch");
    }
}
