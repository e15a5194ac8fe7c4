package io.bilberrygrade.core.identity;

/** Name of a model. */
public record ModelId(String value) implements Identifier {
    /** Creates the identifier; refuses an empty or over-long value. */
    public ModelId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
