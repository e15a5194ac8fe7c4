package io.bilberrygrade.serving.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.atmostonce.IdempotencyKey;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Team;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.atmostonce.AtMostOnceController;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.filter.IdentifyFilter;
import io.bilberrygrade.serving.json.Mappers;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/** HTTP API that issues idempotency keys for calls of plain services. */
public final class KeysApi {
    private static final int HTTP_CREATED = 201;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AtMostOnceController mKeys;
    private final Supplier<Deployment> mDeployment;
    private final Supplier<RequestId> mIds;
    private final DrainController mDrain;

    /** Creates the API. */
    public KeysApi(
            AtMostOnceController keys,
            Supplier<Deployment> deployment,
            Supplier<RequestId> ids,
            DrainController drain) {
        mKeys = keys;
        mDeployment = deployment;
        mIds = ids;
        mDrain = drain;
    }

    /** Adds the route. */
    public void mount(Router router) {
        router.post("/v1/keys").handler(this::issue);
    }

    private void issue(RoutingContext context) {
        if (!mDrain.isAccepting()) {
            Reason reason = mDrain.isDraining() ? Reason.DRAINING : Reason.NOT_READY;
            refuse(context, Step.ADMISSION, reason, "this instance takes no new requests");
            return;
        }
        Optional<Team> team =
                IdentifyFilter.team(
                        mDeployment.get(),
                        CallerHeaderReader.credential(context.request().headers()));
        if (team.isEmpty()) {
            String detail = "the credential belongs to no team";
            refuse(context, Step.IDENTIFY, Reason.BAD_CREDENTIALS, detail);
            return;
        }
        mKeys.issue(team.get().id())
                .ifPresentOrElse(
                        key -> answer(context, key),
                        () ->
                                refuse(
                                        context,
                                        Step.AT_MOST_ONCE,
                                        Reason.OVERLOADED,
                                        "too many keys are alive"));
    }

    private static void answer(RoutingContext context, IdempotencyKey key) {
        KeyDocument document =
                new KeyDocument(key.text(), AtMostOnceController.KEY_LIFETIME.toMillis());
        try {
            context.response()
                    .setStatusCode(HTTP_CREATED)
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(Mappers.JSON.writeValueAsBytes(document)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void refuse(RoutingContext context, Step step, Reason reason, String detail) {
        Outcome outcome = Outcome.notRun(step, reason, detail, RETRY_AFTER);
        new HttpAnswerSink(mIds.get(), "", false, context.response()).end(outcome);
    }

    /** New key and its lifetime. */
    public record KeyDocument(
            @JsonProperty("key") String key, @JsonProperty("lifetime_ms") long lifetimeMillis) {}
}
