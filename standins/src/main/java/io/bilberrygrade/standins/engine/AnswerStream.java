package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.EngineLine;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.bilberrygrade.standins.control.Json;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerResponse;
import io.vertx.mutiny.ext.web.RoutingContext;

/** Streams a completion as newline-delimited JSON, with one write per decode step. */
final class AnswerStream implements JobListener {
    private final RoutingContext mContext;
    private final long mSeed;
    private final int mMaxTokens;
    private final Runnable mOnHead;

    AnswerStream(RoutingContext context, long seed, int maxTokens, Runnable onHead) {
        mContext = context;
        mSeed = seed;
        mMaxTokens = maxTokens;
        mOnHead = onHead;
    }

    /** Closes the connection in the middle of the answer. */
    void cut() {
        mContext.request().connection().closeAndForget();
    }

    @Override
    public void tokens(int offset, int count) {
        write(new EngineLine.Tokens(offset, count, TokenText.tokens(mSeed, offset, count)));
    }

    @Override
    public void finished() {
        write(new EngineLine.Finished(mMaxTokens));
        end();
    }

    @Override
    public void refused(String reason) {
        if (!mContext.response().closed()) {
            mOnHead.run();
            Json.send(mContext, 409, new RefusalDocument(reason));
        }
    }

    @Override
    public void failed(String reason) {
        write(new EngineLine.Failed(reason));
        end();
    }

    private void write(EngineLine line) {
        HttpServerResponse response = mContext.response();
        if (response.closed() || response.ended()) {
            return;
        }
        if (!response.headWritten()) {
            mOnHead.run();
            response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
        }
        response.writeAndForget(Buffer.buffer(Json.write(line) + "\n"));
    }

    private void end() {
        HttpServerResponse response = mContext.response();
        if (!response.closed() && !response.ended()) {
            response.endAndForget();
        }
    }
}
