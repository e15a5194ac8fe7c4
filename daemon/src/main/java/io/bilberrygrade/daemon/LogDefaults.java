package io.bilberrygrade.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import com.google.common.collect.ImmutableList;

/**
 * Sets the log up before the settings are known. A configuration file would be parsed at every
 * start, which costs a restarted daemon a tenth of its start; one on the class path isn't read.
 */
public final class LogDefaults extends ContextAwareBase implements Configurator {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSX, UTC} %-5level %msg%n";
    private static final String LEVEL_VARIABLE = "BILBERRYGRADE_LOG_LEVEL";

    /** Libraries that say more than operators need; the validator's banner names our own jar. */
    private static final ImmutableList<String> QUIET =
            ImmutableList.of("org.hibernate.validator", "io.netty", "io.vertx");

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("STDERR");
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
        root.addAppender(appender);
        QUIET.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
