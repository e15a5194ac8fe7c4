package io.bilberrygrade.core.identity;

/** Name of a team, on whose behalf requests run. */
public record TeamId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public TeamId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
