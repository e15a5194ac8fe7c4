package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.EngineLine;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.bilberrygrade.serving.wire.SegmentDocument;
import io.bilberrygrade.standins.control.Json;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.Optional;
import java.util.function.Supplier;

/** Answers a segment with the handle of its exported KV cache. */
final class SegmentAnswer implements JobListener {
    private static final int CONFLICT = 409;
    private static final int FAILED = 500;

    private final RoutingContext mContext;
    private final long mTokens;
    private final Supplier<Optional<String>> mExport;

    SegmentAnswer(RoutingContext context, long tokens, Supplier<Optional<String>> export) {
        mContext = context;
        mTokens = tokens;
        mExport = export;
    }

    @Override
    public void tokens(int offset, int count) {
        throw new IllegalStateException("a segment generates no tokens");
    }

    @Override
    public void finished() {
        mExport.get()
                .ifPresentOrElse(
                        h -> send(200, new SegmentDocument(h, mTokens)),
                        () -> failed("reservation"));
    }

    @Override
    public void refused(String reason) {
        send(CONFLICT, new RefusalDocument(reason));
    }

    @Override
    public void failed(String reason) {
        send(FAILED, new EngineLine.Failed(reason));
    }

    private void send(int status, Object document) {
        if (!mContext.response().closed()) {
            Json.send(mContext, status, document);
        }
    }
}
