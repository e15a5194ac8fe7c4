package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashSet;
import java.util.Set;

/** Requests that pass the filters, so that each gets a final answer if the process ends first. */
final class RunningRequests {
    private final Set<ForwardExchange> mRunning = new LinkedHashSet<>();

    void add(ForwardExchange exchange) {
        mRunning.add(exchange);
    }

    void remove(ForwardExchange exchange) {
        mRunning.remove(exchange);
    }

    int count() {
        return mRunning.size();
    }

    /** Ends all requests without waiting any longer. */
    void abandonAll() {
        ImmutableList.copyOf(mRunning).forEach(ForwardExchange::abandon);
    }
}
