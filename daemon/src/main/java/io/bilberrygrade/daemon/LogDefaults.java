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
 * Configures Logback before the settings are read. Parsing a configuration file takes a tenth of
 * the startup time of a restarted daemon, so none on the class path is read.
 */
public final class LogDefaults extends ContextAwareBase implements Configurator {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSX, UTC} %-5level %msg%n";
    private static final String LEVEL_VARIABLE = "BILBERRYGRADE_LOG_LEVEL";

    /**
     * Libraries whose INFO messages are of no use to operators; the validator's banner names the
     * daemon's own jar.
     */
    private static final ImmutableList<String> VERBOSE_LIBRARIES =
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
        VERBOSE_LIBRARIES.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
