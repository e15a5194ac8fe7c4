package io.bilberrygrade.serving.answer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnection;

/**
 * Validates the answers on a connection of an HTTP client before the client's own decoder, which
 * accepts more than the protocol does. A malformed answer fails its request with a {@link
 * MalformedAnswerException}, and the connection is closed.
 */
public final class AnswerValidationHandler extends ChannelDuplexHandler {
    private final AnswerValidator mValidator;
    private boolean mFailed;

    private AnswerValidationHandler(AnswerLimits limits) {
        mValidator = new AnswerValidator(limits);
    }

    /** Validates all answers on a connection that hasn't been used yet. */
    public static void install(HttpConnection connection, AnswerLimits limits) {
        AnswerValidationHandler handler = new AnswerValidationHandler(limits);
        ChannelPipeline pipeline =
                ((HttpClientConnection) connection).channelHandlerContext().pipeline();
        pipeline.addFirst(handler);
        String codec = pipeline.context(HttpClientCodec.class).name();
        pipeline.addAfter(codec, null, handler.new RequestObserver());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf in = (ByteBuf) msg;
        try {
            if (!mFailed) {
                mValidator.read(in, ctx::fireChannelRead);
                if (in.isReadable()) {
                    mFailed = true;
                    close(ctx);
                }
            }
        } catch (MalformedAnswerException e) {
            fail(ctx, e);
        } finally {
            in.release();
        }
    }

    private void fail(ChannelHandlerContext ctx, Throwable cause) {
        mFailed = true;
        ctx.fireExceptionCaught(cause);
        close(ctx);
    }

    private static void close(ChannelHandlerContext ctx) {
        ChannelFuture unused = ctx.close();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        mValidator.release();
    }

    /** Notes the method of each request, which decides whether its answer has a body. */
    private final class RequestObserver extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise)
                throws Exception {
            if (msg instanceof HttpRequest request) {
                mValidator.expectAnswer(request.method().equals(HttpMethod.HEAD));
            }
            super.write(ctx, msg, promise);
        }
    }
}
