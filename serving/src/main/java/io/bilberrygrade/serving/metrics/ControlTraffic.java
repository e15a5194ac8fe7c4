package io.bilberrygrade.serving.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.request.Step;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts calls and bytes between this daemon and its peers, the platform and, for load, cache
 * events, orders and clean-up, its endpoints. Requests of callers are not counted.
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

    /** Returns counters that nobody reads. */
    public static ControlTraffic unread() {
        return new ControlTraffic(new MetricRegistry());
    }

    private static boolean isControl(Step step) {
        return switch (step) {
            case PEER_CALL, CONFIGURATION, MEMBERSHIP, ROUTE, ORDER, RECLAIM -> true;
            default -> false;
        };
    }

    /** Counts bytes that leave in a call or a reply. */
    public void sent(Step step, long bytes) {
        Counters counters = mCounters.get(step);
        if (counters != null) {
            counters.mMessages.inc();
            counters.mSent.inc(bytes);
        }
    }

    /** Counts bytes that arrive. */
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
