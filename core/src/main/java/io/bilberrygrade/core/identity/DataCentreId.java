package io.bilberrygrade.core.identity;

/** Name of a data centre. */
public record DataCentreId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public DataCentreId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
