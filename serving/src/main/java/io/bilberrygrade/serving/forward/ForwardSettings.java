package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.serving.settings.PeerKey;
import java.time.Duration;

/**
 * Settings of a forwarding daemon.
 *
 * @param callers address at which callers connect
 * @param readiness address of the platform's readiness probe
 * @param peers address at which peers connect
 * @param seeds addresses of some peers, which may be stale
 * @param peerKey key that the daemons share
 * @param keyStaleness longest time for which a key may be honoured after it was revoked
 * @param stopGrace time from the stop signal until the process is killed
 * @param repeatRatio retries that the fleet may send, as a fraction of the requests
 * @param repeatWindow time window of that ratio
 * @param repeatSlack retries beyond the ratio that the whole fleet may send in a window
 * @param options what only some deployments state
 */
public record ForwardSettings(
        InstanceId instance,
        DataCentreId dataCentre,
        Address callers,
        Address readiness,
        Address peers,
        ImmutableList<Address> seeds,
        PeerKey peerKey,
        Address store,
        Duration keyStaleness,
        Duration stopGrace,
        double repeatRatio,
        Duration repeatWindow,
        double repeatSlack,
        DeploymentOptions options) {

    /** Creates the settings of a deployment that states no options. */
    public ForwardSettings(
            InstanceId instance,
            DataCentreId dataCentre,
            Address callers,
            Address readiness,
            Address peers,
            ImmutableList<Address> seeds,
            PeerKey peerKey,
            Address store,
            Duration keyStaleness,
            Duration stopGrace,
            double repeatRatio,
            Duration repeatWindow,
            double repeatSlack) {
        this(
                instance,
                dataCentre,
                callers,
                readiness,
                peers,
                seeds,
                peerKey,
                store,
                keyStaleness,
                stopGrace,
                repeatRatio,
                repeatWindow,
                repeatSlack,
                DeploymentOptions.NONE);
    }

    /**
     * Returns these settings with the ones of {@code newer} that may change in a running daemon.
     */
    ForwardSettings withChangeable(ForwardSettings newer) {
        return new ForwardSettings(
                instance,
                dataCentre,
                callers,
                readiness,
                peers,
                newer.seeds,
                peerKey,
                store,
                newer.keyStaleness,
                newer.stopGrace,
                repeatRatio,
                repeatWindow,
                repeatSlack,
                new DeploymentOptions(
                        newer.options.contended(),
                        options.capacity(),
                        options.room(),
                        options.relay()));
    }

    /** Returns the names of the settings that differ. */
    ImmutableSortedSet<String> differences(ForwardSettings other) {
        ImmutableSortedSet.Builder<String> names = ImmutableSortedSet.naturalOrder();
        addIf(names, "instance", !instance.equals(other.instance));
        addIf(names, "data centre", !dataCentre.equals(other.dataCentre));
        addIf(names, "callers", !callers.equals(other.callers));
        addIf(names, "readiness", !readiness.equals(other.readiness));
        addIf(names, "peers", !peers.equals(other.peers));
        addIf(names, "seeds", !seeds.equals(other.seeds));
        addIf(names, "store", !store.equals(other.store));
        addIf(names, "key staleness", !keyStaleness.equals(other.keyStaleness));
        addIf(names, "stop grace", !stopGrace.equals(other.stopGrace));
        addIf(names, "repeat window", !repeatWindow.equals(other.repeatWindow));
        addIf(names, "repeat slack", Double.compare(repeatSlack, other.repeatSlack) != 0);
        addIf(names, "repeat ratio", Double.compare(repeatRatio, other.repeatRatio) != 0);
        addIf(names, "contention", options.contended() != other.options.contended());
        addIf(names, "capacity", !options.capacity().equals(other.options.capacity()));
        addIf(names, "room bounds", !options.room().equals(other.options.room()));
        addIf(names, "relay", !options.relay().equals(other.options.relay()));
        return names.build();
    }

    private static void addIf(
            ImmutableSortedSet.Builder<String> names, String name, boolean differs) {
        if (differs) {
            names.add(name);
        }
    }
}
