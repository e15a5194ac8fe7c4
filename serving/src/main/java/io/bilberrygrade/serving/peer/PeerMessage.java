package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Message between entry daemons. Nonces and proofs are in lower-case hexadecimal. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Challenge.class, name = "challenge"),
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = PeerMessage.Welcome.class, name = "welcome"),
    @JsonSubTypes.Type(value = PeerMessage.Ping.class, name = "ping"),
    @JsonSubTypes.Type(value = PeerMessage.Pong.class, name = "pong"),
    @JsonSubTypes.Type(value = PeerMessage.GangRequest.class, name = "gang-request"),
    @JsonSubTypes.Type(value = PeerMessage.GangGrant.class, name = "gang-grant"),
    @JsonSubTypes.Type(value = PeerMessage.GangRelease.class, name = "gang-release"),
    @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "failure")
})
public sealed interface PeerMessage {
    /** First message of the accepting side: a fresh nonce that the other side has to sign. */
    record Challenge(String nonce) implements PeerMessage {}

    /** First message of the connecting side: who it is, its own nonce and the signed challenge. */
    record Hello(String instance, long incarnation, String nonce, String proof)
            implements PeerMessage {}

    /** Answer of the accepting side to a valid hello: who it is and the signed nonce. */
    record Welcome(String instance, long incarnation, String proof) implements PeerMessage {}

    /** Asks whether a peer is there and which configuration it has in force. */
    record Ping(String instance, long incarnation, long configVersion) implements PeerMessage {}

    /** Answers a ping. */
    record Pong(String instance, long incarnation, long configVersion) implements PeerMessage {}

    /** Asks a steward for engines of a gang, all or none, for a time in milliseconds. */
    record GangRequest(String request, List<String> engines, long lifetimeMillis)
            implements PeerMessage {}

    /** Answers a gang request with the engines that others hold; none when it is granted. */
    record GangGrant(List<String> busy) implements PeerMessage {}

    /** Gives back what was granted to a request. */
    record GangRelease(String request) implements PeerMessage {}

    /** Says that a call could not be carried out. */
    record Failure(String message) implements PeerMessage {}
}
