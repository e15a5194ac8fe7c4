package io.bilberrygrade.core.identity;

/** Name of a class of work. */
public record WorkClassId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public WorkClassId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
