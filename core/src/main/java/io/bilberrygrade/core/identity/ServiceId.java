package io.bilberrygrade.core.identity;

/** Name of a plain service. */
public record ServiceId(String value) implements Identifier {
    /** Creates the identifier; refuses an empty or over-long value. */
    public ServiceId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
