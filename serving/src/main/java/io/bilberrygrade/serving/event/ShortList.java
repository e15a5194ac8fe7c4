package io.bilberrygrade.serving.event;

import com.google.common.base.Joiner;
import com.google.common.collect.Iterables;
import java.util.Collection;

/** Lists of ids in events, whose length is bounded since callers determine it. */
public final class ShortList {
    private static final int MAX_ELEMENTS = 32;

    private ShortList() {}

    /** Returns the elements, separated by commas; only the first ones if there are many. */
    public static String of(Collection<?> elements) {
        String first = Joiner.on(',').join(Iterables.limit(elements, MAX_ELEMENTS));
        int more = elements.size() - MAX_ELEMENTS;
        return more > 0 ? first + ",and " + more + " more" : first;
    }
}
