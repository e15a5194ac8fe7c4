package io.bilberrygrade.daemon;

import io.bilberrygrade.daemon.ForwardProcess.SettingsSource;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.forward.ForwardSettings;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Rereads the settings on a signal and periodically, since the file may change without a signal.
 * Logs invalid settings once and keeps the current ones.
 */
final class SettingsWatcher {
    /** Interval between two reads of a file of some kilobytes, whose changes aren't urgent. */
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);

    private final SettingsSource mSource;
    private final Consumer<ForwardSettings> mOnChange;
    private final EventLog mEvents;
    private ForwardSettings mCurrent;
    private String mLastFault = "";

    SettingsWatcher(
            SettingsSource source,
            ForwardSettings first,
            Consumer<ForwardSettings> onChange,
            EventLog events) {
        mSource = source;
        mCurrent = first;
        mOnChange = onChange;
        mEvents = events;
    }

    /** Starts polling on a daemon thread. */
    void start() {
        Thread thread = new Thread(this::run, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL);
                reloadIfChanged();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the settings and passes them to the listener if they have changed. Thread-safe. */
    synchronized void reloadIfChanged() {
        try {
            ForwardSettings read = mSource.read();
            mLastFault = "";
            if (!read.equals(mCurrent)) {
                mCurrent = read;
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
