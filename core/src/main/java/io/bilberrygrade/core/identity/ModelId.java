package io.bilberrygrade.core.identity;

/** Name of a model. */
public record ModelId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public ModelId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
