package io.bilberrygrade.serving.peer;

import java.util.List;

/**
 * Reply to a {@link RateLimitReport}.
 *
 * @param limits statements of endpoints: all to a follower, otherwise recent ones in answers to the
 *     answering daemon
 * @param grants answers to the requests for permits
 */
public record RateLimitReply(List<RateLimitEntry> limits, List<PermitGrantEntry> grants) {}
