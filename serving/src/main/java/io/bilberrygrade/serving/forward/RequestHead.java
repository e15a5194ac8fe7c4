package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.core.forward.PromptShape;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;

/**
 * Head of a caller's request.
 *
 * @param attemptId id of this attempt of the caller; answers of endpoints repeat it
 * @param timeLeft time for which the caller still waits
 * @param sharedParts parts of the prompt that other requests may share, in order; the part that
 *     belongs to the request alone is left out
 * @param ownPart part of the prompt that belongs to the request or its session alone
 * @param resumeAfter last event of a broken stream that the caller has received
 * @param passedOn headers that are forwarded to the endpoint unchanged
 */
public record RequestHead(
        HttpMethod method,
        String uri,
        String host,
        Optional<String> attemptId,
        Optional<String> key,
        Optional<Duration> timeLeft,
        Optional<PromptShape> prompt,
        ImmutableSet<PromptPart> sharedParts,
        Optional<PromptPart> ownPart,
        Optional<Long> resumeAfter,
        MultiMap passedOn) {}
