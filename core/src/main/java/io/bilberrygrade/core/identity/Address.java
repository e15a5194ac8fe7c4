package io.bilberrygrade.core.identity;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/** IP address and port of a listening socket. */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Maximum length of a host name in characters, as in DNS. */
    private static final int MAX_HOST_CHARS = 253;

    /**
     * Creates the address; rejects an empty or too long host, one with white space or control
     * characters, and a port outside 1 to 65,535.
     */
    public Address {
        checkArgument(!host.isEmpty(), "a host must not be empty");
        checkArgument(
                host.length() <= MAX_HOST_CHARS,
                "a host has at most %s characters",
                MAX_HOST_CHARS);
        checkArgument(
                host.chars().noneMatch(c -> Character.isWhitespace(c) || Character.isISOControl(c)),
                "a host must not contain white space or control characters");
        checkArgument(port > 0 && port <= MAX_PORT, "port %s is out of range", port);
    }

    /** Parses {@code host:port}; throws {@link IllegalArgumentException} on any other form. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        checkArgument(colon > 0, "'%s' is not of the form host:port", text);
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Parses {@code host:port}; empty if it is null or of any other form. */
    public static Optional<Address> tryParse(String text) {
        try {
            return Optional.ofNullable(text).map(Address::parse);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
