package io.bilberrygrade.serving.document;

/** Validated document with the line numbers of its keys. */
public final class Document<T> {
    private final String mName;
    private final T mValue;
    private final LineIndex mLines;

    Document(String name, T value, LineIndex lines) {
        mName = name;
        mValue = value;
        mLines = lines;
    }

    /** Returns the document's content. */
    public T value() {
        return mValue;
    }

    /** Creates a fault at a JSON pointer such as {@code /endpoints/2/address}. */
    public Fault fault(String pointer, String message) {
        return new Fault(mName, mLines.line(pointer), Pointers.key(pointer), message);
    }
}
