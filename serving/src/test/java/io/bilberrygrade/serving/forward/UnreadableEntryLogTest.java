package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Entries that can't be read are logged in a bounded number of lines. */
final class UnreadableEntryLogTest {
    /** Lines for single entries, and one that counts the others. */
    private static final int MAX_LINES = 1_025;

    private final List<Event> mLines = new ArrayList<>();
    private final UnreadableEntryLog mLog = new UnreadableEntryLog(mLines::add);

    private static ImmutableList<UnreadableEntry> entries(int count, String value) {
        return IntStream.range(0, count)
                .mapToObj(i -> UnreadableEntry.of("servers/" + i, value))
                .collect(ImmutableList.toImmutableList());
    }

    // Guards against a full read that logs each unchanged entry again.
    @Test
    void unchangedEntriesAreLoggedOnce() {
        for (int i = 0; i < 3; i++) {
            mLog.record(entries(1_025, "x"));
        }
        assertThat(mLines).hasSize(MAX_LINES);
    }

    // Guards against a line for each of any number of entries.
    @Test
    void manyEntriesAreCounted() {
        mLog.record(entries(20_000, "x"));
        assertThat(mLines).hasSize(MAX_LINES);
    }

    // Guards against a change that the bound hides.
    @Test
    void changedEntryIsLoggedAgain() {
        mLog.record(entries(3, "x"));
        mLog.record(entries(3, "y"));
        assertThat(mLines).hasSize(6);
    }

    // Guards against counted entries whose changes are never logged.
    @Test
    void moreEntriesAreCountedAgain() {
        mLog.record(entries(2_000, "x"));
        mLog.record(entries(2_001, "x"));
        assertThat(mLines)
                .endsWith(
                        new ForwardEvent.MoreEntriesUnreadable(976, "servers/1024"),
                        new ForwardEvent.MoreEntriesUnreadable(977, "servers/1024"));
    }
}
