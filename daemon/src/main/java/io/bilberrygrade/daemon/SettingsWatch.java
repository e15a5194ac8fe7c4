package io.bilberrygrade.daemon;

import io.bilberrygrade.daemon.ForwardProcess.SettingsSource;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.forward.ForwardSettings;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Reads the settings again on a signal and now and then, since the file may change without one.
 * Faulty settings are logged once and leave those in force as they are.
 */
final class SettingsWatch {
    /** Pause between two readings of a file of some kilobytes; nothing waits for its changes. */
    private static final Duration PERIOD = Duration.ofSeconds(5);

    private final SettingsSource mSource;
    private final Consumer<ForwardSettings> mOnChange;
    private final EventLog mEvents;
    private ForwardSettings mLast;
    private String mLastFault = "";

    SettingsWatch(
            SettingsSource source,
            ForwardSettings first,
            Consumer<ForwardSettings> onChange,
            EventLog events) {
        mSource = source;
        mLast = first;
        mOnChange = onChange;
        mEvents = events;
    }

    /** Starts to look now and then, on a thread of its own that doesn't keep the process alive. */
    void start() {
        Thread thread = new Thread(this::run, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(PERIOD);
                look();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the settings and hands them on if they have changed. Safe to call from any thread. */
    synchronized void look() {
        try {
            ForwardSettings read = mSource.read();
            mLastFault = "";
            if (!read.equals(mLast)) {
                mLast = read;
                mOnChange.accept(read);
            }
        } catch (InvalidSettingsException e) {
            if (!e.getMessage().equals(mLastFault)) {
                mLastFault = e.getMessage();
                mEvents.record(new LifecycleEvent.UnexpectedError("reload", mLastFault));
            }
        }
    }
}
