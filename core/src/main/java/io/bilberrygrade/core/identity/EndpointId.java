package io.bilberrygrade.core.identity;

/** Name of an endpoint, which is a model engine or an instance of a plain service. */
public record EndpointId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public EndpointId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
