package io.bilberrygrade.core.identity;

/**
 * Number that tells one run of a daemon from every other, since a restarted daemon remembers
 * nothing of the run before. Later runs on one instance have higher numbers.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }
}
