package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * What one daemon tells another in a round of gossip. Each list is bounded, whatever the size of
 * the fleet; what doesn't fit has its turn in a later round. {@code configVersion} is the version
 * in force at the sender.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"members", "configVersion", "leaving", "classUse"})
public record GossipDigest(
        List<MemberEntry> members,
        long configVersion,
        List<LeavingMark> leaving,
        List<ClassUse> classUse) {
    /** Most members in a digest, the sender among them. */
    public static final int MAX_MEMBERS = 8;

    /** Most leaving marks in a digest. */
    public static final int MAX_LEAVING = 4;

    /** Most class uses in a digest. */
    public static final int MAX_CLASS_USES = 4;

    /** Copies the lists; absent and over-long ones are malformed. */
    public GossipDigest {
        members = bounded(members, MAX_MEMBERS);
        leaving = bounded(leaving, MAX_LEAVING);
        classUse = bounded(classUse, MAX_CLASS_USES);
    }

    private static <T> List<T> bounded(List<T> list, int max) {
        if (list == null || list.size() > max) {
            throw new IllegalArgumentException("a list of a digest is absent or over-long");
        }
        return List.copyOf(list);
    }
}
