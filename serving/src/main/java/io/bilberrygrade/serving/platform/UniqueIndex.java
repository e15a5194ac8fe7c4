package io.bilberrygrade.serving.platform;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.serving.document.Document;
import io.bilberrygrade.serving.document.Fault;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Index of the items of a list, or of lists of one kind in several parts; reports duplicate keys.
 */
final class UniqueIndex<K, V> {
    private final Map<K, V> mItems = new LinkedHashMap<>();
    private final Consumer<Fault> mFaults;
    private Document<?> mPart;
    private int mPosition;

    UniqueIndex(Consumer<Fault> faults) {
        mFaults = faults;
    }

    UniqueIndex(Document<?> part, Consumer<Fault> faults) {
        this(faults);
        startPart(part);
    }

    /** Starts the list of another part. */
    void startPart(Document<?> part) {
        mPart = part;
        mPosition = 0;
    }

    /** Adds the list's next item. */
    void add(String list, K key, V value) {
        if (mItems.putIfAbsent(key, value) != null) {
            mFaults.accept(mPart.fault(list + "/" + mPosition, "a second '" + key + "'"));
        }
        mPosition++;
    }

    /** Skips the list's next item. */
    void skip() {
        mPosition++;
    }

    ImmutableMap<K, V> build() {
        return ImmutableMap.copyOf(mItems);
    }
}
