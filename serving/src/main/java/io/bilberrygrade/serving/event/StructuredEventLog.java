package io.bilberrygrade.serving.event;

import java.util.Map;
import org.jboss.logging.MDC;

/** Forwards events with their number and fields in the log context, for structured formats. */
public final class StructuredEventLog implements EventLog {
    private static final String EVENT = "event";

    private final EventLog mNext;

    /** Creates the log in front of the one that writes the events. */
    public StructuredEventLog(EventLog next) {
        mNext = next;
    }

    @Override
    public void record(Event event) {
        Map<String, String> fields = EventFormat.fields(event);
        MDC.put(EVENT, EventFormat.number(event));
        fields.forEach(MDC::put);
        try {
            mNext.record(event);
        } finally {
            MDC.remove(EVENT);
            fields.keySet().forEach(MDC::remove);
        }
    }
}
