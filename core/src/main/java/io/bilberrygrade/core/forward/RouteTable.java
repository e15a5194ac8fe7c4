package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Routes indexed by host, which avoids a scan of all routes for each request. */
public final class RouteTable {
    private final ImmutableList<Route> mRoutes;
    private final ImmutableListMultimap<String, Route> mByHost;

    /** Creates the table. */
    public RouteTable(ImmutableList<Route> routes) {
        mRoutes = routes;
        ImmutableList<Route> longestFirst =
                ImmutableList.sortedCopyOf(
                        Comparator.comparingInt((Route r) -> -r.prefix().length()), routes);
        mByHost = Multimaps.index(longestFirst, r -> r.host().toLowerCase(Locale.ROOT));
    }

    /** Returns all routes in their published order. */
    public ImmutableList<Route> routes() {
        return mRoutes;
    }

    /**
     * Returns the route of the host with the longest prefix of the path. The host may include a
     * port and the path a query; both are ignored.
     */
    public Optional<Route> find(String host, String path) {
        String lowerCaseHost = host.toLowerCase(Locale.ROOT);
        int colon = lowerCaseHost.indexOf(':');
        String hostName = colon < 0 ? lowerCaseHost : lowerCaseHost.substring(0, colon);
        int query = path.indexOf('?');
        String pathOnly = query < 0 ? path : path.substring(0, query);
        return mByHost.get(hostName).stream()
                .filter(r -> pathOnly.startsWith(r.prefix()))
                .findFirst();
    }
}
