package io.bilberrygrade.serving.controller;

import io.bilberrygrade.serving.peer.ClassUse;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.LeavingMark;
import io.bilberrygrade.serving.peer.MemberEntry;
import java.util.ArrayList;
import java.util.List;

/** Builds a digest. Entries beyond the bound of their list are dropped. */
public final class GossipDigestBuilder {
    private final List<MemberEntry> mMembers = new ArrayList<>();
    private final List<LeavingMark> mLeaving = new ArrayList<>();
    private final List<ClassUse> mClassUse = new ArrayList<>();
    private long mConfigVersion;

    /** Creates a builder of an empty digest. */
    public GossipDigestBuilder() {}

    /** Adds a member; returns whether there was room. */
    public boolean add(MemberEntry member) {
        return add(mMembers, member, GossipDigest.MAX_MEMBERS);
    }

    /** Adds a leaving mark; returns whether there was room. */
    public boolean add(LeavingMark mark) {
        return add(mLeaving, mark, GossipDigest.MAX_LEAVING);
    }

    /** Adds a class use; returns whether there was room. */
    public boolean add(ClassUse use) {
        return add(mClassUse, use, GossipDigest.MAX_CLASS_USES);
    }

    /** Sets the version of the configuration in force. */
    public void configVersion(long version) {
        mConfigVersion = version;
    }

    /** Returns the digest. */
    public GossipDigest build() {
        return new GossipDigest(mMembers, mConfigVersion, mLeaving, mClassUse);
    }

    private static <T> boolean add(List<T> list, T item, int max) {
        return list.size() < max && list.add(item);
    }
}
