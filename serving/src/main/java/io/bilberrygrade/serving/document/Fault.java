package io.bilberrygrade.serving.document;

/** One fault of a document: its name, the line from 1, the key and what is wrong. */
public record Fault(String document, int line, String key, String message) {
    @Override
    public String toString() {
        String where = key.isEmpty() ? "" : key + ": ";
        return document + ":" + line + ": " + where + message;
    }
}
