package io.bilberrygrade.serving.report;

import com.google.common.collect.ImmutableMap;

/** Descriptions of how each column of a report is counted. */
final class ReportColumns {
    static final ImmutableMap<String, String> COUNTED_BY =
            ImmutableMap.<String, String>builder()
                    .put(
                            "requests",
                            "requests with a final outcome, each counted once by the daemon that"
                                    + " received it, in the minute of its outcome")
                    .put("done", "whole answer relayed before the request's deadline")
                    .put(
                            "insideTarget",
                            "done, and the first token (for a plain service: the answer) left the"
                                    + " daemon within the class's target after the request arrived;"
                                    + " the target is the one in force at its arrival")
                    .put(
                            "insideTargetShare",
                            "insideTarget over requests, so that refused, failed and unknown ones"
                                    + " count against the target")
                    .put("refused", "outcome not-run before any endpoint was tried")
                    .put("failed", "outcome not-run after endpoints were tried or waited for")
                    .put("unknown", "outcome unknown: the request may have run, wholly or in part")
                    .put("worthOffered", "sum of X-Worth of all requests; 1 where none was stated")
                    .put("worthInTime", "sum of X-Worth of the requests that are done")
                    .put(
                            "losses",
                            "detected: requests without any outcome 5 s past their deadline, and"
                                    + " gaps between tokens relayed to callers, including an answer"
                                    + " that ended short")
                    .put(
                            "repeats",
                            "detected: second outcomes of one request and tokens relayed to a"
                                    + " caller again; a call that a plain service ran twice"
                                    + " without saying so isn't seen here")
                    .buildOrThrow();

    private ReportColumns() {}
}
