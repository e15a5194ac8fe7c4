package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * State that one daemon sends to another in a gossip round. Each list is bounded, whatever the size
 * of the fleet; entries that don't fit are sent in a later round. {@code configVersion} is the
 * version in force at the sender.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"members", "configVersion", "leaving", "classUse"})
public record GossipDigest(
        List<MemberEntry> members,
        long configVersion,
        List<LeavingMark> leaving,
        List<ClassUse> classUse) {
    /** Maximum number of members in a digest, including the sender. */
    public static final int MAX_MEMBERS = 8;

    /** Maximum number of leaving marks in a digest. */
    public static final int MAX_LEAVING = 4;

    /** Maximum number of class usages in a digest. */
    public static final int MAX_CLASS_USES = 4;

    /** Copies the lists; rejects missing lists and lists over their maximum length. */
    public GossipDigest {
        members = checkSize(members, MAX_MEMBERS);
        leaving = checkSize(leaving, MAX_LEAVING);
        classUse = checkSize(classUse, MAX_CLASS_USES);
    }

    private static <T> List<T> checkSize(List<T> list, int max) {
        if (list == null || list.size() > max) {
            throw new IllegalArgumentException("digest list is missing or over its maximum");
        }
        return List.copyOf(list);
    }
}
