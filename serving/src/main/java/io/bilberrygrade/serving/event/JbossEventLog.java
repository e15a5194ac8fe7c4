package io.bilberrygrade.serving.event;

import org.jboss.logging.Logger;

/** Writes events to the log stream. */
public final class JbossEventLog implements EventLog {
    private static final Logger LOGGER = Logger.getLogger("bilberrygrade");

    @Override
    public void record(Event event) {
        Logger.Level level =
                switch (EventFormat.info(event.getClass()).level()) {
                    case DEBUG -> Logger.Level.DEBUG;
                    case INFO -> Logger.Level.INFO;
                    case WARN -> Logger.Level.WARN;
                    case ERROR -> Logger.Level.ERROR;
                };
        if (LOGGER.isEnabled(level)) {
            LOGGER.log(level, EventFormat.describe(event));
        }
    }
}
