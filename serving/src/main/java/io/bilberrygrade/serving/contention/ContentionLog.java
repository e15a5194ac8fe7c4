package io.bilberrygrade.serving.contention;

import io.bilberrygrade.core.contention.AdmissionCause;
import io.bilberrygrade.core.contention.AdmissionDecision;
import io.bilberrygrade.core.contention.ContentionPolicy;
import io.bilberrygrade.core.contention.ServiceLoad;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.serving.event.ContentionEvent;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ShortList;

/**
 * Logs decisions with what they were based on. Requests that can be in time while their rank isn't
 * crowded have no line of their own, so that an instance without contention logs as before.
 */
final class ContentionLog {
    private final EventLog mEvents;

    ContentionLog(EventLog events) {
        mEvents = events;
    }

    void record(
            Arrival arrival,
            AdmissionDecision decision,
            ServiceLoad load,
            ContentionPolicy policy,
            boolean crowdedBefore) {
        boolean crowded = policy.isCrowded(arrival.rank());
        if (crowded != crowdedBefore) {
            mEvents.record(
                    new ContentionEvent.RankCrowded(
                            arrival.service().id().value(),
                            arrival.rank().level(),
                            crowded,
                            Math.round(decision.prediction().queueMillis()),
                            load.calls(),
                            load.slots(),
                            load.age().toMillis()));
        }
        switch (decision) {
            case AdmissionDecision.Refuse r -> recordRefused(arrival, r, load, policy);
            case AdmissionDecision.Admit a ->
                    recordAdmitted(
                            arrival, a, load, crowded || a.cause() != AdmissionCause.IN_TIME);
        }
    }

    private void recordRefused(
            Arrival arrival,
            AdmissionDecision.Refuse refusal,
            ServiceLoad load,
            ContentionPolicy policy) {
        mEvents.record(
                new ContentionEvent.RequestRefused(
                        arrival.id(),
                        refusal.cause().name(),
                        arrival.rank().level(),
                        arrival.team().map(TeamId::value).orElse("none"),
                        Math.round(refusal.prediction().waitMillis()),
                        Math.round(refusal.prediction().firstMillis()),
                        arrival.route().goal().toMillis(),
                        arrival.timeLeft().toMillis(),
                        load.calls(),
                        load.slots(),
                        Math.round(refusal.prediction().ahead()),
                        load.age().toMillis(),
                        refusal.retryAfter().toMillis(),
                        refusal.promised(),
                        ShortList.of(policy.admittedLately().entrySet())));
    }

    private void recordAdmitted(
            Arrival arrival,
            AdmissionDecision.Admit admission,
            ServiceLoad load,
            boolean contended) {
        if (contended) {
            mEvents.record(
                    new ContentionEvent.RequestAdmitted(
                            arrival.id(),
                            admission.cause().name(),
                            arrival.rank().level(),
                            admission.runAs().level(),
                            Math.round(admission.prediction().waitMillis()),
                            Math.round(admission.prediction().firstMillis()),
                            arrival.route().goal().toMillis(),
                            load.calls(),
                            load.slots(),
                            load.age().toMillis()));
        }
    }
}
