package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.bilberrygrade.serving.report.DaemonReport;
import io.bilberrygrade.serving.wire.PartReference;
import java.util.List;

/** Message between entry daemons. Nonces and proofs are in lower-case hexadecimal. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Challenge.class, name = "challenge"),
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = PeerMessage.Welcome.class, name = "welcome"),
    @JsonSubTypes.Type(value = PeerMessage.GangRequest.class, name = "gang-request"),
    @JsonSubTypes.Type(value = PeerMessage.GangGrant.class, name = "gang-grant"),
    @JsonSubTypes.Type(value = PeerMessage.GangRelease.class, name = "gang-release"),
    @JsonSubTypes.Type(value = PeerMessage.Gossip.class, name = "gossip"),
    @JsonSubTypes.Type(value = PeerMessage.GossipReply.class, name = "gossip-reply"),
    @JsonSubTypes.Type(value = PeerMessage.KeyedCall.class, name = "keyed-call"),
    @JsonSubTypes.Type(value = PeerMessage.KeyedAnswer.class, name = "keyed-answer"),
    @JsonSubTypes.Type(value = PeerMessage.ReportRequest.class, name = "report-request"),
    @JsonSubTypes.Type(value = PeerMessage.ReportReply.class, name = "report-reply"),
    @JsonSubTypes.Type(value = PeerMessage.ManifestRequest.class, name = "manifest-request"),
    @JsonSubTypes.Type(value = PeerMessage.ManifestReply.class, name = "manifest-reply"),
    @JsonSubTypes.Type(value = PeerMessage.PartRequest.class, name = "part-request"),
    @JsonSubTypes.Type(value = PeerMessage.PartReply.class, name = "part-reply"),
    @JsonSubTypes.Type(value = PeerMessage.Work.class, name = "work"),
    @JsonSubTypes.Type(value = PeerMessage.WorkHeard.class, name = "work-heard"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigWanted.class, name = "config-wanted"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigHanded.class, name = "config-handed"),
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

    /** Push half of a round of gossip. */
    record Gossip(GossipDigest digest) implements PeerMessage {}

    /** Pull half of a round of gossip. */
    record GossipReply(GossipDigest digest) implements PeerMessage {}

    /**
     * Submission of a call under an idempotency key, on its way to the daemon that made the key.
     * {@code remainingMillis} is the time that is left until the deadline.
     */
    record KeyedCall(
            String request,
            String team,
            String key,
            String service,
            String operation,
            long remainingMillis,
            Bytes body)
            implements PeerMessage {}

    /** Outcome of a call under an idempotency key. */
    record KeyedAnswer(KeyedOutcome outcome) implements PeerMessage {}

    /** Asks what a peer counted in the last minutes, for a report of the whole fleet. */
    record ReportRequest(int periodMinutes) implements PeerMessage {}

    /** What a daemon counted. */
    record ReportReply(DaemonReport report) implements PeerMessage {}

    /** Asks a steward for engines of a gang, all or none, for a time in milliseconds. */
    record GangRequest(String request, List<String> engines, long lifetimeMillis)
            implements PeerMessage {}

    /** Answers a gang request with the engines that others hold; none when it is granted. */
    record GangGrant(List<String> busy) implements PeerMessage {}

    /** Gives back what was granted to a request. */
    record GangRelease(String request) implements PeerMessage {}

    /**
     * Asks for the manifest of the configuration in force; {@code after} is the asker's version.
     */
    record ManifestRequest(long after) implements PeerMessage {}

    /** Manifest of the configuration in force at a peer. */
    record ManifestReply(long version, List<PartReference> parts) implements PeerMessage {}

    /** Asks for the part of the configuration in force that has the given digest. */
    record PartRequest(String digest) implements PeerMessage {}

    /** Text of a part of the configuration. */
    record PartReply(String text) implements PeerMessage {}

    /**
     * Work that the sender has at each endpoint now, in place of what it said before; endpoints
     * that aren't named have none. Asks for the sums of all daemons' work.
     *
     * @param address where the sender takes calls of peers
     * @param version version up to which the sender knows the receiver's sums; 0 if it knows none,
     *     {@link #NO_SUMS} if it wants none
     * @param entries the sender's own work
     * @param leaving runs of endpoints that have asked for no new work lately
     * @param storeEra the store's era in which the sender reads; 0 from daemons that don't know of
     *     eras
     * @param storeRevision the store's revision up to which the sender knows the endpoints
     */
    record Work(
            String address,
            long version,
            List<WorkEntry> entries,
            List<LeavingRunEntry> leaving,
            long storeEra,
            long storeRevision)
            implements PeerMessage {
        /** Version of a sender that only states its own work. */
        public static final long NO_SUMS = -1;
    }

    /**
     * Answers with what has changed in the sums of all daemons' work.
     *
     * @param startedAtMillis start of the answering daemon's run, by which its sums are known
     * @param version number of the last change that counts in
     * @param whole whether endpoints that aren't named have no work, rather than as much as before
     * @param sums changed sums, the asking daemon's own work included
     * @param aggregators the daemon that sums up and those that could take over, in their order
     * @param fleet number of daemons that the answering one knows, itself included
     * @param confirmation what it has read of the published configuration; null if it can't rely on
     *     that
     * @param leaving runs of endpoints that have asked for no new work lately, or for long if the
     *     asking daemon is new
     * @param store changes of the endpoints after the revision that the asking daemon knows; null
     *     if the answering one doesn't know all of them or doesn't watch the store
     */
    record WorkHeard(
            long startedAtMillis,
            long version,
            boolean whole,
            List<WorkEntry> sums,
            List<FleetEntry> aggregators,
            int fleet,
            ConfirmationEntry confirmation,
            List<LeavingRunEntry> leaving,
            StoreChanges store)
            implements PeerMessage {}

    /** Asks for the configuration in force if it is newer than the given version. */
    record ConfigWanted(long newerThan) implements PeerMessage {}

    /**
     * Hands the configuration in force on, for a daemon that can't read it from the store.
     *
     * @param version its version; the receiver checks it against the document
     * @param storeEra the store's era in which it was last seen there
     * @param storeRevision its revision there
     * @param document the configuration as published; null if none is newer than what was asked for
     */
    record ConfigHanded(long version, long storeEra, long storeRevision, Bytes document)
            implements PeerMessage {}

    /** Says that a call could not be carried out. */
    record Failure(String message) implements PeerMessage {}
}
