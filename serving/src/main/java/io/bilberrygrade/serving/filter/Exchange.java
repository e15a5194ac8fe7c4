package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Team;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.RequestId;
import io.vertx.core.buffer.Buffer;
import java.time.Instant;
import java.util.Optional;

/**
 * State of one request in the filter chain. Filters add the team, work class and deadline. The
 * deployment is the one in force when the request arrived, so that all filters see the same
 * version.
 */
public final class Exchange {
    private final RequestId mId;
    private final Call mCall;
    private final CallerHeaders mHeaders;
    private final Buffer mBody;
    private final Instant mArrival;
    private final Deployment mDeployment;
    private final AnswerSink mSink;
    private Optional<Team> mTeam = Optional.empty();
    private Optional<WorkClass> mWorkClass = Optional.empty();
    private Optional<Instant> mDeadline = Optional.empty();
    private boolean mNotRunConfirmed;

    /** Creates the exchange of a request that has just arrived. */
    public Exchange(
            RequestId id,
            Call call,
            CallerHeaders headers,
            Buffer body,
            Instant arrival,
            Deployment deployment,
            AnswerSink sink) {
        mId = id;
        mCall = call;
        mHeaders = headers;
        mBody = body;
        mArrival = arrival;
        mDeployment = deployment;
        mSink = sink;
    }

    /** Returns the request's identifier. */
    public RequestId id() {
        return mId;
    }

    /** Returns the call. */
    public Call call() {
        return mCall;
    }

    /** Returns the caller's headers. */
    public CallerHeaders headers() {
        return mHeaders;
    }

    /** Returns the caller's body, which is forwarded unchanged. */
    public Buffer body() {
        return mBody;
    }

    /** Returns the time of arrival. */
    public Instant arrival() {
        return mArrival;
    }

    /** Returns the configuration that applies to this request. */
    public Deployment deployment() {
        return mDeployment;
    }

    /** Returns the sink that receives the answer. */
    public AnswerSink sink() {
        return mSink;
    }

    /** Returns the team, once identified. */
    public Team team() {
        return mTeam.orElseThrow();
    }

    /** Sets the team. */
    public void setTeam(Team team) {
        mTeam = Optional.of(team);
    }

    /** Returns the work class, once known. */
    public WorkClass workClass() {
        return mWorkClass.orElseThrow();
    }

    /** Returns the work class, or empty before it is known. */
    public Optional<WorkClass> findWorkClass() {
        return mWorkClass;
    }

    /** Sets the work class. */
    public void setWorkClass(WorkClass workClass) {
        mWorkClass = Optional.of(workClass);
    }

    /** Returns whether a refusal is confirmed: the request was not run and never will be. */
    public boolean isNotRunConfirmed() {
        return mNotRunConfirmed;
    }

    /** Marks a refusal as confirmed: the request was not run and never will be. */
    public void confirmNotRun() {
        mNotRunConfirmed = true;
    }

    /** Returns the deadline, once known. */
    public Instant deadline() {
        return mDeadline.orElseThrow();
    }

    /** Returns the deadline, or empty before it is known. */
    public Optional<Instant> findDeadline() {
        return mDeadline;
    }

    /** Sets the deadline. */
    public void limit(Instant deadline) {
        mDeadline = Optional.of(deadline);
    }
}
