package io.bilberrygrade.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import io.bilberrygrade.daemon.settings.DaemonSettings;
import io.bilberrygrade.daemon.settings.LogFormat;
import io.bilberrygrade.daemon.settings.LogLevel;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.JbossEventLog;
import io.bilberrygrade.serving.event.StructuredEventLog;
import java.util.function.LongSupplier;
import org.slf4j.LoggerFactory;

/** Configures the log. */
public final class LogSetup {
    private LogSetup() {}

    /** Applies the format and level of the settings and returns the event log. */
    public static EventLog apply(DaemonSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(settings.logLevel().name()));
        if (settings.logFormat() == LogFormat.PLAIN) {
            return new JbossEventLog();
        }
        root.detachAndStopAllAppenders();
        root.addAppender(jsonAppender(context));
        return new StructuredEventLog(new JbossEventLog());
    }

    /** Writes the log to the standard output on a separate thread. */
    public static LogOutput toStandardOutput(LogLevel level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level.name()));
        DroppingAppender queue = new DroppingAppender();
        queue.setContext(context);
        root.iteratorForAppenders()
                .forEachRemaining(
                        a -> {
                            if (a instanceof ConsoleAppender<ILoggingEvent> console) {
                                console.stop();
                                console.setTarget("System.out");
                                console.start();
                                queue.addAppender(console);
                            }
                        });
        queue.start();
        root.iteratorForAppenders().forEachRemaining(root::detachAppender);
        root.addAppender(queue);
        return new LogOutput(new JbossEventLog(), queue::dropped, context::stop);
    }

    /**
     * Event log with a queue that a separate thread writes.
     *
     * @param dropped returns the number of lines dropped because the reader was too slow
     * @param close writes the queued lines and stops logging
     */
    public record LogOutput(EventLog events, LongSupplier dropped, Runnable close) {}

    private static ConsoleAppender<ILoggingEvent> jsonAppender(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }
}
