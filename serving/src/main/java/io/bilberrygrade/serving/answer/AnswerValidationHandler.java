package io.bilberrygrade.serving.answer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnection;
import java.io.IOException;

/**
 * Validates the answers on a connection of an HTTP client before the client's own decoder, which
 * accepts more than the protocol does and takes each end of a connection for an orderly one. A
 * malformed answer fails its request with a {@link MalformedAnswerException}, and an answer that is
 * broken off with an {@link IOException}; the connection is closed.
 */
public final class AnswerValidationHandler extends ChannelDuplexHandler {
    private final AnswerValidator mValidator;
    private int mPendingWrites;
    private boolean mWriteFailed;
    private boolean mInputEnded;
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

    /**
     * Makes the end of the input visible, and lets a failed write leave the input open: an answer
     * may be complete before its request is written.
     */
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        ctx.channel().config().setOption(ChannelOption.AUTO_CLOSE, false);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise)
            throws Exception {
        mPendingWrites++;
        super.write(ctx, msg, promise.unvoid().addListener(w -> onWritten(ctx, w)));
    }

    private void onWritten(ChannelHandlerContext ctx, Future<?> write) {
        mPendingWrites--;
        mWriteFailed |= !write.isSuccess();
        closeIfEnded(ctx);
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
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(ctx, cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            mInputEnded = true;
            closeIfEnded(ctx);
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    /**
     * Closes the connection after its input has ended. If the answer ends with it, waits until the
     * request is written, since a server that has crashed resets the connection only then.
     */
    private void closeIfEnded(ChannelHandlerContext ctx) {
        if (mInputEnded && (mPendingWrites == 0 || !mValidator.endsWithConnection())) {
            close(ctx);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        boolean orderly = mInputEnded && mPendingWrites == 0 && !mWriteFailed;
        if (mValidator.endsWithConnection() && !orderly && !mFailed) {
            fail(ctx, new IOException("the connection was reset before the answer had ended"));
        }
        ctx.fireChannelInactive();
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
