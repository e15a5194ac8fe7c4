package io.bilberrygrade.standins.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Fields of a completion's JSON body that the engine uses; absent ones are empty or 0. */
record PromptBody(String model, String prompt, int maxTokens) {
    private static final JsonFactory FACTORY = new JsonFactory();

    static PromptBody parse(byte[] body) {
        try (JsonParser parser = FACTORY.createParser(body)) {
            return parse(parser);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static PromptBody parse(JsonParser parser) throws IOException {
        String model = "";
        String prompt = "";
        int maxTokens = 0;
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("completion body is not a JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "model" -> model = parser.getText();
                case "prompt" -> prompt = parser.getText();
                case "max_tokens" -> maxTokens = parser.getIntValue();
                default -> parser.skipChildren();
            }
        }
        return new PromptBody(model, prompt, maxTokens);
    }
}
