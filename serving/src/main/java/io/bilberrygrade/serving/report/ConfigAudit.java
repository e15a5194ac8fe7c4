package io.bilberrygrade.serving.report;

import com.google.common.collect.MapDifference.ValueDifference;
import com.google.common.collect.Maps;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Team;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.serving.event.ConfigEvent;
import io.bilberrygrade.serving.event.EventLog;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Records each class, team, model and endpoint that a new configuration changed, with old and new
 * value.
 */
public final class ConfigAudit {
    private static final String ABSENT = "absent";

    private final EventLog mEvents;
    private Deployment mPrevious = Deployment.EMPTY;

    /** Creates the audit; the first configuration is only the basis of comparison. */
    public ConfigAudit(EventLog events) {
        mEvents = events;
    }

    /** Records the differences from the previous configuration. */
    public void onDeployment(Deployment next) {
        Deployment previous = mPrevious;
        mPrevious = next;
        if (previous.version() == 0) {
            return;
        }
        compare(next, "class", previous.classes(), next.classes());
        compare(next, "team", teams(previous), teams(next));
        compare(next, "model", previous.models(), next.models());
        compare(next, "endpoint", previous.endpoints(), next.endpoints());
    }

    private static Map<TeamId, Team> teams(Deployment deployment) {
        return deployment.teams().values().stream()
                .collect(Collectors.toMap(Team::id, Function.identity()));
    }

    private <K, V> void compare(Deployment next, String kind, Map<K, V> before, Map<K, V> after) {
        var difference = Maps.difference(before, after);
        difference
                .entriesOnlyOnLeft()
                .forEach((k, v) -> record(next, kind, k, v.toString(), ABSENT));
        difference
                .entriesOnlyOnRight()
                .forEach((k, v) -> record(next, kind, k, ABSENT, v.toString()));
        difference.entriesDiffering().forEach((k, v) -> record(next, kind, k, v));
    }

    private void record(Deployment next, String kind, Object id, ValueDifference<?> values) {
        record(next, kind, id, values.leftValue().toString(), values.rightValue().toString());
    }

    private void record(Deployment next, String kind, Object id, String from, String to) {
        mEvents.record(new ConfigEvent.ItemChanged(next.version(), kind, id.toString(), from, to));
    }
}
