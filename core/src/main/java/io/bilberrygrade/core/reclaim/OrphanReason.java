package io.bilberrygrade.core.reclaim;

/** Why memory on an engine is orphaned. */
public enum OrphanReason {
    DEADLINE_PAST,
    OWNER_GONE
}
