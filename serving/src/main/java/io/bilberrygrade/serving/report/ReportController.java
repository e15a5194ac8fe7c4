package io.bilberrygrade.serving.report;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.report.ReportHistory;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.wire.InstanceDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Owns the counts of this daemon and sums them with those of its peers on request. */
public final class ReportController {
    /** Maximum period of a report; its lines fit into a frame of the peer protocol. */
    public static final int MAX_PERIOD_MINUTES = 240;

    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_LINES = 4_000;

    private final PeerIdentity mSelf;
    private final Instant mStarted;
    private final ReportHistory mHistory;
    private final PeerNetwork mPeers;
    private final Supplier<List<InstanceDocument>> mInstances;
    private final Supplier<Deployment> mDeployment;

    /** Creates the controller; {@code instances} supplies the published list. */
    public ReportController(
            PeerIdentity self,
            Instant started,
            ReportHistory history,
            PeerNetwork peers,
            Supplier<List<InstanceDocument>> instances,
            Supplier<Deployment> deployment) {
        mSelf = self;
        mStarted = started;
        mHistory = history;
        mPeers = peers;
        mInstances = instances;
        mDeployment = deployment;
    }

    /** Returns the counts of this daemon over a period that ends now. */
    public DaemonReport localReport(int periodMinutes, Instant now) {
        List<MinuteLine> lines = new ArrayList<>();
        mHistory.since(Duration.ofMinutes(Math.clamp(periodMinutes, 1, MAX_PERIOD_MINUTES)), now)
                .forEach(
                        m ->
                                m.counts()
                                        .forEach(
                                                (c, n) ->
                                                        lines.add(
                                                                new MinuteLine(
                                                                        m.minute(),
                                                                        c.value(),
                                                                        n))));
        int first = Math.max(0, lines.size() - MAX_LINES);
        return new DaemonReport(
                mSelf.instance().value(),
                mSelf.incarnation().value(),
                mStarted.toEpochMilli(),
                ImmutableList.copyOf(lines.subList(first, lines.size())));
    }

    /**
     * Requests the counts of all peers on the published list and returns the sum, which lists the
     * peers that did not answer.
     */
    public Uni<FleetReport> fleetReport(int periodMinutes, Instant now) {
        return Multi.createFrom()
                .iterable(mInstances.get())
                .filter(i -> i.isEntry() && !i.id().equals(mSelf.instance().value()))
                .onItem()
                .transformToUniAndMerge(i -> ask(i, periodMinutes))
                .collect()
                .asList()
                .map(answers -> sum(answers, periodMinutes, now));
    }

    private Uni<Answer> ask(InstanceDocument peer, int periodMinutes) {
        return mPeers.call(
                        peer.address().orElseThrow(),
                        new PeerMessage.ReportRequest(periodMinutes),
                        PEER_TIMEOUT)
                .map(reply -> answer(peer, reply))
                .onFailure()
                .recoverWithItem(new Answer(peer.id(), Optional.empty()));
    }

    private static Answer answer(InstanceDocument peer, PeerMessage reply) {
        return new Answer(
                peer.id(),
                reply instanceof PeerMessage.ReportReply r
                        ? Optional.of(r.report())
                        : Optional.empty());
    }

    private FleetReport sum(List<Answer> answers, int periodMinutes, Instant now) {
        List<DaemonReport> reports = new ArrayList<>();
        reports.add(localReport(periodMinutes, now));
        answers.forEach(a -> a.report().ifPresent(reports::add));
        List<String> unanswered =
                answers.stream().filter(a -> a.report().isEmpty()).map(Answer::instance).toList();
        return FleetReportBuilder.sum(reports, unanswered, mDeployment.get(), periodMinutes, now);
    }

    private record Answer(String instance, Optional<DaemonReport> report) {}
}
