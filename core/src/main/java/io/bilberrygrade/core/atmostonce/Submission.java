package io.bilberrygrade.core.atmostonce;

/** What is to be done with a submission of a call under a key. */
public sealed interface Submission<T> {
    /** It is the first one and has been recorded; the call is to be run. */
    record Run<T>() implements Submission<T> {}

    /** An earlier submission is running; its outcome is to be waited for. */
    record Wait<T>() implements Submission<T> {}

    /** An earlier submission has ended with this outcome. */
    record Repeat<T>(T outcome) implements Submission<T> {}

    /** An earlier submission has ended, but its outcome was too much to keep. */
    record NotKept<T>() implements Submission<T> {}

    /** An earlier submission under the key was of another call. */
    record OtherCall<T>() implements Submission<T> {}

    /** The key's lifetime is over, and with it what was recorded of it. */
    record Expired<T>() implements Submission<T> {}
}
