package io.bilberrygrade.serving.event;

/** Receives the events of a daemon. */
public interface EventLog {
    /** Records an event. */
    void record(Event event);
}
