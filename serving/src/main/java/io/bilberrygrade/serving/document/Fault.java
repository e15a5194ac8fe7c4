package io.bilberrygrade.serving.document;

/** Fault in a document: the document's name, the line counted from 1, the key and a message. */
public record Fault(String document, int line, String key, String message) {
    @Override
    public String toString() {
        String where = key.isEmpty() ? "" : key + ": ";
        return document + ":" + line + ": " + where + message;
    }
}
