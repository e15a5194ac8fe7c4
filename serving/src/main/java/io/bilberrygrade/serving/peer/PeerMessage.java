package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.bilberrygrade.serving.report.DaemonReport;
import io.bilberrygrade.serving.room.EvacuationEntry;
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
    @JsonSubTypes.Type(value = PeerMessage.RelaysWanted.class, name = "relays-wanted"),
    @JsonSubTypes.Type(value = PeerMessage.RelaysNamed.class, name = "relays-named"),
    @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "failure")
})
public sealed interface PeerMessage {
    /** First message of the accepting side: a fresh nonce for the other side to sign. */
    record Challenge(String nonce) implements PeerMessage {}

    /**
     * First message of the connecting side: its identity, its own nonce and the proof for the
     * challenge.
     */
    record Hello(String instance, long incarnation, String nonce, String proof)
            implements PeerMessage {}

    /** Reply of the accepting side to a valid hello: its identity and the proof for the nonce. */
    record Welcome(String instance, long incarnation, String proof) implements PeerMessage {}

    /** Push half of a gossip round. */
    record Gossip(GossipDigest digest) implements PeerMessage {}

    /** Pull half of a gossip round. */
    record GossipReply(GossipDigest digest) implements PeerMessage {}

    /**
     * Submission of a call under an idempotency key, forwarded to the daemon that issued the key.
     * {@code remainingMillis} is the time until the deadline.
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

    /** Requests the counts of a peer over the last minutes, for a report of the whole fleet. */
    record ReportRequest(int periodMinutes) implements PeerMessage {}

    /** Counts of a daemon. */
    record ReportReply(DaemonReport report) implements PeerMessage {}

    /**
     * Requests the engines of a gang from a steward, all or none, for a lifetime in milliseconds.
     */
    record GangRequest(String request, List<String> engines, long lifetimeMillis)
            implements PeerMessage {}

    /** Reply to a gang request: the engines that other requests hold; empty if it is granted. */
    record GangGrant(List<String> busy) implements PeerMessage {}

    /** Releases the engines that were granted to a request. */
    record GangRelease(String request) implements PeerMessage {}

    /**
     * Requests the manifest of the configuration in force; {@code after} is the sender's version.
     */
    record ManifestRequest(long after) implements PeerMessage {}

    /** Manifest of the configuration in force at a peer. */
    record ManifestReply(long version, List<PartReference> parts) implements PeerMessage {}

    /** Requests the part of the configuration in force that has the given digest. */
    record PartRequest(String digest) implements PeerMessage {}

    /** Text of a part of the configuration. */
    record PartReply(String text) implements PeerMessage {}

    /**
     * The sender's current work at each endpoint, which replaces its earlier reports; it has none
     * at endpoints that aren't listed. Requests the sums of all daemons' work.
     *
     * @param address address at which the sender accepts calls of peers
     * @param version version up to which the sender has the receiver's sums; 0 if it has none,
     *     {@link #NO_SUMS} if it requests none
     * @param entries the sender's own work
     * @param leaving runs of endpoints that recently asked for no new work
     * @param storeEra the store's era in which the sender reads; 0 from daemons that don't support
     *     eras
     * @param storeRevision the store's revision up to which the sender has the endpoints
     * @param rateLimits what the sender reports of rate-limited endpoints; null if it knows of none
     * @param crashes crashes of endpoints that prompts may have caused; null if it knows of none
     * @param capacity the sender's own capacity; null if it states none
     * @param relay port at which the sender takes over requests of peers, on the host of its
     *     address; null if it takes none at present
     */
    record Work(
            String address,
            long version,
            List<WorkEntry> entries,
            List<LeavingRunEntry> leaving,
            long storeEra,
            long storeRevision,
            @JsonInclude(JsonInclude.Include.NON_NULL) RateLimitReport rateLimits,
            @JsonInclude(JsonInclude.Include.NON_NULL) CrashReport crashes,
            @JsonInclude(JsonInclude.Include.NON_NULL) CapacityEntry capacity,
            @JsonInclude(JsonInclude.Include.NON_NULL) Integer relay)
            implements PeerMessage {
        /** Version from a sender that reports its own work and requests no sums. */
        public static final long NO_SUMS = -1;
    }

    /**
     * Reply with the changes in the sums of all daemons' work.
     *
     * @param startedAtMillis start of the answering daemon's run, which identifies its sequence of
     *     versions
     * @param version number of the last change that the sums include
     * @param whole whether endpoints that aren't listed have no work, rather than unchanged work
     * @param sums changed sums, including the requesting daemon's own work
     * @param aggregators the aggregator and its standbys, in order
     * @param fleet number of daemons that the answering one knows, including itself
     * @param confirmation result of its last read of the published configuration; null if that
     *     isn't reliable
     * @param leaving runs of endpoints that asked for no new work: the recent ones or, for a new
     *     daemon, older ones as well
     * @param store changes of the endpoints after the requesting daemon's revision; null if the
     *     answering one doesn't have all of them or doesn't watch the store
     * @param rateLimits rate-limited endpoints and granted permits; null if the answering daemon
     *     knows of no rate limit
     * @param crashes crashes of endpoints that prompts may have caused; null if it knows of none
     * @param capacities capacities of daemons; null if it knows of none
     * @param evacuations marks of data centres and their withdrawals after the requesting daemon's
     *     revision; null if the answering daemon doesn't read such marks
     */
    record WorkHeard(
            long startedAtMillis,
            long version,
            boolean whole,
            List<WorkEntry> sums,
            List<AggregatorEntry> aggregators,
            int fleet,
            ConfirmationEntry confirmation,
            List<LeavingRunEntry> leaving,
            StoreChanges store,
            @JsonInclude(JsonInclude.Include.NON_NULL) RateLimitReply rateLimits,
            @JsonInclude(JsonInclude.Include.NON_NULL) CrashReport crashes,
            @JsonInclude(JsonInclude.Include.NON_NULL) CapacityReply capacities,
            @JsonInclude(JsonInclude.Include.NON_NULL) List<EvacuationEntry> evacuations)
            implements PeerMessage {}

    /** Requests the configuration in force if it is newer than the given version. */
    record ConfigWanted(long newerThan) implements PeerMessage {}

    /**
     * Transfers the configuration in force to a daemon that can't read it from the store.
     *
     * @param version its version, which the receiver checks against the document
     * @param storeEra the store's era in which the configuration was last read
     * @param storeRevision its revision in that era
     * @param document the configuration as published; null if none is newer than the requested
     *     version
     */
    record ConfigHanded(long version, long storeEra, long storeRevision, Bytes document)
            implements PeerMessage {}

    /**
     * Requests peers that take over requests, from a daemon that is cut off from the endpoints.
     *
     * @param address address at which the sender accepts calls of peers
     * @param count maximum number of peers to name
     */
    record RelaysWanted(String address, int count) implements PeerMessage {}

    /** Addresses of peers that take over requests. */
    record RelaysNamed(List<String> addresses) implements PeerMessage {}

    /** Reply to a call that failed. */
    record Failure(String message) implements PeerMessage {}
}
