package io.bilberrygrade.core.identity;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;
import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.util.Optional;

/**
 * IP address and port of a socket. The host is always a literal, so that no name is ever looked up,
 * which would block the event loop.
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** First number of the IPv4 addresses that are reserved for later (RFC 1112, class E). */
    private static final int FIRST_RESERVED = 240;

    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    /** Characters of IP literals; the library would accept digits of other scripts, and zones. */
    private static final CharMatcher LITERAL =
            DIGITS.or(CharMatcher.inRange('a', 'f'))
                    .or(CharMatcher.inRange('A', 'F'))
                    .or(CharMatcher.anyOf(".:"));

    /**
     * Creates the address; rejects a host that is no IP literal, and a port outside 1 to 65,535.
     */
    public Address {
        checkArgument(
                LITERAL.matchesAllOf(host) && InetAddresses.isInetAddress(host),
                "a host must be an IP address");
        checkArgument(port > 0 && port <= MAX_PORT, "port %s is out of range", port);
    }

    /** Parses {@code host:port}; throws {@link IllegalArgumentException} on any other form. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        checkArgument(colon > 0, "the address is not of the form host:port");
        String port = text.substring(colon + 1);
        checkArgument(
                !port.isEmpty() && DIGITS.matchesAllOf(port), "the port is not a whole number");
        return new Address(text.substring(0, colon), Integer.parseInt(port));
    }

    /** Parses {@code host:port}; empty if it is null or of any other form. */
    public static Optional<Address> tryParse(String text) {
        try {
            return Optional.ofNullable(text).map(Address::parse);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses the address of one host that another process states; empty also if it names all hosts
     * or a group of them, to which no connection can be meant.
     */
    public static Optional<Address> tryParseRemote(String text) {
        return tryParse(text).filter(Address::isOneHost);
    }

    private boolean isOneHost() {
        InetAddress address = InetAddresses.forString(host);
        int first = Byte.toUnsignedInt(address.getAddress()[0]);
        return !address.isAnyLocalAddress()
                && !address.isMulticastAddress()
                && (!isIpv4() || (first > 0 && first < FIRST_RESERVED));
    }

    /** Returns whether the host is an IPv4 address. */
    public boolean isIpv4() {
        return host.indexOf(':') < 0;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
