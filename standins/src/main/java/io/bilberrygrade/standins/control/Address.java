package io.bilberrygrade.standins.control;

/** Address of a stand-in; port 0 selects a free one. */
public record Address(String host, int port, int controlPort) {
    /** Returns an address on the loopback interface with free ports. */
    public static Address free() {
        return new Address("127.0.0.1", 0, 0);
    }
}
