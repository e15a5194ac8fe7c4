package io.bilberrygrade.serving.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.request.Step;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts control messages and bytes between this daemon and its peers, the platform and its
 * endpoints; for endpoints, those of load, cache events, orders and clean-up. Requests of callers
 * are not counted.
 */
public final class ControlTraffic {
    private final Map<Step, Counters> mCounters = new EnumMap<>(Step.class);

    /** Creates the counters in a registry. */
    public ControlTraffic(MetricRegistry registry) {
        for (Step step : Step.values()) {
            if (isControl(step)) {
                mCounters.put(step, new Counters(registry, step));
            }
        }
    }

    /** Returns counters that aren't exported. */
    public static ControlTraffic unexported() {
        return new ControlTraffic(new MetricRegistry());
    }

    private static boolean isControl(Step step) {
        return switch (step) {
            case PEER_CALL, CONFIGURATION, MEMBERSHIP, ROUTE, ORDER, RECLAIM -> true;
            default -> false;
        };
    }

    /** Counts a sent message and its bytes. */
    public void sent(Step step, long bytes) {
        Counters counters = mCounters.get(step);
        if (counters != null) {
            counters.mMessages.inc();
            counters.mSent.inc(bytes);
        }
    }

    /** Counts received bytes. */
    public void received(Step step, long bytes) {
        Counters counters = mCounters.get(step);
        if (counters != null) {
            counters.mReceived.inc(bytes);
        }
    }

    private static final class Counters {
        private final Counter mMessages;
        private final Counter mSent;
        private final Counter mReceived;

        Counters(MetricRegistry registry, Step step) {
            String name = step.name().toLowerCase(Locale.ROOT);
            mMessages = registry.counter("control.messages_sent." + name);
            mSent = registry.counter("control.bytes_sent." + name);
            mReceived = registry.counter("control.bytes_received." + name);
        }
    }
}
