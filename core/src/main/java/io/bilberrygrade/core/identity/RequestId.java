package io.bilberrygrade.core.identity;

/** Identifier of one request, unique among all daemons. */
public record RequestId(String value) implements Identifier {
    /** Creates the identifier; rejects an empty or too long value. */
    public RequestId {
        Identifier.check(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
