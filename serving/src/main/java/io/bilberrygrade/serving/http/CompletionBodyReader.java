package io.bilberrygrade.serving.http;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.serving.json.Mappers;
import io.netty.buffer.ByteBufInputStream;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.buffer.impl.BufferImpl;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * Parses a completion call's body in one pass and without copying the prompt, which may have a
 * million tokens.
 */
public final class CompletionBodyReader {
    private static final int DEFAULT_ANSWER_TOKENS = 16;
    private static final int MAX_ANSWER_TOKENS = 100_000;

    private final Buffer mBody;
    private Optional<String> mModel = Optional.empty();
    private int mMaxTokens = DEFAULT_ANSWER_TOKENS;
    private boolean mStream;
    private int mPromptStart = -1;
    private int mPromptEnd = -1;

    private CompletionBodyReader(Buffer body) {
        mBody = body;
    }

    /** Parses the body. */
    public static CompletionBody read(Buffer body) throws MalformedBodyException {
        return new CompletionBodyReader(body).read();
    }

    private CompletionBody read() throws MalformedBodyException {
        try (InputStream in = new ByteBufInputStream(((BufferImpl) mBody).byteBuf().duplicate());
                JsonParser parser = Mappers.JSON.getFactory().createParser(in)) {
            readObject(parser);
        } catch (IOException e) {
            throw new MalformedBodyException("the body is not JSON: " + firstLine(e), e);
        }
        if (mPromptStart < 0) {
            throw new MalformedBodyException("'prompt' is missing");
        }
        int tokens = PromptTokens.count(mPromptEnd - mPromptStart);
        ImmutableLongArray hashes = PromptTokens.prefixHashes(mBody, mPromptStart, mPromptEnd);
        Prompt prompt = new Prompt(tokens, mMaxTokens, hashes);
        return new CompletionBody(mModel, prompt, mStream, mPromptStart, mPromptEnd);
    }

    private void readObject(JsonParser parser) throws IOException, MalformedBodyException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedBodyException("the body is not a JSON object");
        }
        JsonToken token = parser.nextToken();
        while (token == JsonToken.FIELD_NAME) {
            token = readField(parser);
        }
        if (token != JsonToken.END_OBJECT) {
            throw new MalformedBodyException("the body ends early");
        }
    }

    private JsonToken readField(JsonParser parser) throws IOException, MalformedBodyException {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        switch (name) {
            case "prompt" -> {
                return readPrompt(parser, value);
            }
            case "model" -> mModel = Optional.of(parser.getText());
            case "stream" -> mStream = parser.getBooleanValue();
            case "max_tokens" -> mMaxTokens = maxTokens(parser.getIntValue());
            default -> parser.skipChildren();
        }
        return parser.nextToken();
    }

    private JsonToken readPrompt(JsonParser parser, JsonToken value)
            throws IOException, MalformedBodyException {
        if (value != JsonToken.VALUE_STRING) {
            throw new MalformedBodyException("'prompt' is not a string");
        }
        mPromptStart = (int) parser.currentTokenLocation().getByteOffset() + 1;
        JsonToken next = parser.nextToken();
        int nextStart = (int) parser.currentTokenLocation().getByteOffset();
        mPromptEnd = lastQuoteBefore(nextStart);
        return next;
    }

    private int lastQuoteBefore(int end) {
        int i = end - 1;
        while (mBody.getByte(i) != '"') {
            i--;
        }
        return i;
    }

    private static int maxTokens(int value) throws MalformedBodyException {
        if (value < 1 || value > MAX_ANSWER_TOKENS) {
            throw new MalformedBodyException("'max_tokens' is outside 1 to " + MAX_ANSWER_TOKENS);
        }
        return value;
    }

    private static String firstLine(IOException e) {
        return e.getMessage().lines().findFirst().orElse("");
    }
}
