package io.bilberrygrade.core.identity;

/** Name of an instance, on which an entry daemon or endpoints run. */
public record InstanceId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public InstanceId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
