package io.bilberrygrade.core.cost;

import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.request.LengthBand;
import java.util.Optional;

/**
 * Requests that are expected to cost alike.
 *
 * @param band length of the prompt; empty for requests to plain services
 */
public record CostKey(String route, Optional<LengthBand> band) {
    /** Returns the key of a request to a plain service. */
    public static CostKey plain(String route) {
        return new CostKey(route, Optional.empty());
    }

    /** Returns the key of a stream with the given prompt. */
    public static CostKey stream(String route, PromptShape prompt) {
        int tokens = (int) Math.min(Integer.MAX_VALUE, prompt.promptTokens());
        return new CostKey(route, Optional.of(LengthBand.of(tokens)));
    }
}
