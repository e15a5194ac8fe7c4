package io.bilberrygrade.core.identity;

/** Name of a plain service. */
public record ServiceId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public ServiceId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
