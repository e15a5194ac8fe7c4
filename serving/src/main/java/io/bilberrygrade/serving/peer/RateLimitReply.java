package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.bilberrygrade.serving.room.ColdEntry;
import java.util.List;

/**
 * Reply to a {@link RateLimitReport}.
 *
 * @param limits statements of endpoints: all to a follower, otherwise recent ones in answers to the
 *     answering daemon
 * @param grants answers to the requests for permits
 * @param cold endpoints that are cold by the answers of endpoints: all to a follower, otherwise
 *     those to the answering daemon; null if there are none
 */
public record RateLimitReply(
        List<RateLimitEntry> limits,
        List<PermitGrantEntry> grants,
        @JsonInclude(JsonInclude.Include.NON_NULL) List<ColdEntry> cold) {}
