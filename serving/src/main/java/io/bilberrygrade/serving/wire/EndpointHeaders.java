package io.bilberrygrade.serving.wire;

/** Names of the HTTP headers between the entry daemon and the endpoints. */
public final class EndpointHeaders {
    public static final String REQUEST_ID = "X-Request-Id";
    public static final String ATTEMPT = "X-Attempt";
    public static final String INCARNATION = "X-Incarnation";
    public static final String PRIORITY = "X-Priority";

    /** Milliseconds until the deadline, which needs no synchronized clocks. */
    public static final String DEADLINE_MILLIS = "X-Deadline-Ms";

    public static final String MODEL = "X-Model";
    public static final String PROMPT_TOKENS = "X-Prompt-Tokens";
    public static final String MAX_TOKENS = "X-Max-Tokens";
    public static final String RESUME_OFFSET = "X-Resume-Offset";

    /** Comma-separated hexadecimal hashes of the prompt's leading blocks, longest prefix last. */
    public static final String PREFIX_HASHES = "X-Prefix-Hashes";

    public static final String RESERVATION_ID = "X-Reservation-Id";
    public static final String FROM_TOKEN = "X-From-Token";
    public static final String TO_TOKEN = "X-To-Token";

    /** Comma-separated {@code host:port/handle} of exported KV caches to import. */
    public static final String IMPORT = "X-Import";

    /** A {@link LoadDocument} as JSON on every answer of an engine. */
    public static final String LOAD = "X-Load";

    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private EndpointHeaders() {}
}
