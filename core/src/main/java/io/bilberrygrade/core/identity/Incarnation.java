package io.bilberrygrade.core.identity;

/**
 * Number that identifies one run of a daemon, since a restarted daemon keeps no state of earlier
 * runs. Later runs on one instance have higher numbers.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }
}
