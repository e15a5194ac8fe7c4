package io.bilberrygrade.core.atmostonce;

/** Decision on a submission of a call under a key. */
public sealed interface Submission<T> {
    /** The submission is the first one and has been recorded; the call is to be run. */
    record Run<T>() implements Submission<T> {}

    /** An earlier submission is running; the caller waits for its outcome. */
    record Wait<T>() implements Submission<T> {}

    /** An earlier submission has ended with this outcome. */
    record Repeat<T>(T outcome) implements Submission<T> {}

    /** An earlier submission has ended, but its outcome was dropped to limit memory. */
    record OutcomeDropped<T>() implements Submission<T> {}

    /** An earlier submission under the key was for another call. */
    record KeyReused<T>() implements Submission<T> {}

    /** The key has expired, and its record with it. */
    record Expired<T>() implements Submission<T> {}
}
