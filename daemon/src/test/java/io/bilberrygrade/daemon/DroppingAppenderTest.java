package io.bilberrygrade.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class DroppingAppenderTest {
    private final LoggerContext mContext = new LoggerContext();
    private final CountDownLatch mReaderReleased = new CountDownLatch(1);
    private final AtomicInteger mWritten = new AtomicInteger();

    @Test
    void blockedReaderDoesNotBlockLoggersAndDropsAreCounted() {
        DroppingAppender appender = new DroppingAppender();
        Logger logger = logger(appender);
        int lines = 3 * DroppingAppender.QUEUE_LINES;
        for (int i = 0; i < lines; i++) {
            logger.info("line");
        }
        assertThat(appender.dropped()).isGreaterThanOrEqualTo(DroppingAppender.QUEUE_LINES);
        mReaderReleased.countDown();
        appender.stop();
        assertThat(mWritten.get() + appender.dropped()).isEqualTo(lines);
    }

    @Test
    void writesEveryLineWhileReaderKeepsUp() {
        mReaderReleased.countDown();
        DroppingAppender appender = new DroppingAppender();
        Logger logger = logger(appender);
        for (int i = 0; i < 100; i++) {
            logger.info("line");
        }
        appender.stop();
        assertThat(mWritten).hasValue(100);
        assertThat(appender.dropped()).isZero();
    }

    private Logger logger(DroppingAppender appender) {
        mContext.setMDCAdapter(new LogbackMDCAdapter());
        BlockedReader reader = new BlockedReader();
        reader.setContext(mContext);
        reader.start();
        appender.setContext(mContext);
        appender.setMaxFlushTime(0);
        appender.addAppender(reader);
        appender.start();
        Logger logger = mContext.getLogger("test");
        logger.setLevel(Level.INFO);
        logger.addAppender(appender);
        return logger;
    }

    private final class BlockedReader extends AppenderBase<ILoggingEvent> {
        @Override
        protected void append(ILoggingEvent event) {
            try {
                mReaderReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            mWritten.incrementAndGet();
        }
    }
}
