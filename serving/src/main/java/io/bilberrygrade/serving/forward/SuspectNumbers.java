package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.BaseEncoding;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.peer.Bytes;
import io.bilberrygrade.serving.peer.SuspectTable;
import io.vertx.core.buffer.Buffer;
import java.util.BitSet;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Numbers the suspects of one report, so that each is sent once and the sets of the crashes are
 * bits: crashes of the same cause have most suspects in common.
 */
final class SuspectNumbers {
    /** Form of the parts' ids on the platform, of which four bytes are sent. */
    private static final Pattern PACKED_PART = Pattern.compile("[0-9a-f]{8}");

    /** Form of the ids of requests, of which their digests are sent. */
    private static final Pattern PACKED_REQUEST = Pattern.compile(":[A-Za-z0-9_-]{8}");

    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();
    private static final int PART_BYTES = 4;

    private final ImmutableList<Suspect> mSuspects;
    private final ImmutableMap<Suspect, Integer> mNumbers;

    private SuspectNumbers(ImmutableList<Suspect> suspects) {
        mSuspects = suspects;
        ImmutableMap.Builder<Suspect, Integer> numbers = ImmutableMap.builder();
        for (int i = 0; i < suspects.size(); i++) {
            numbers.put(suspects.get(i), i);
        }
        mNumbers = numbers.buildKeepingLast();
    }

    /** Numbers the given suspects. */
    static SuspectNumbers of(ImmutableSet<Suspect> suspects) {
        return new SuspectNumbers(
                ImmutableList.<Suspect>builder()
                        .addAll(only(suspects, SuspectNumbers::isPackedPart))
                        .addAll(only(suspects, SuspectNumbers::isPackedRequest))
                        .addAll(only(suspects, s -> !isPackedPart(s) && !isPackedRequest(s)))
                        .build());
    }

    private static ImmutableList<Suspect> only(
            Collection<Suspect> suspects, Predicate<Suspect> kind) {
        return suspects.stream().filter(kind).collect(ImmutableList.toImmutableList());
    }

    private static boolean isPackedPart(Suspect suspect) {
        return PACKED_PART.matcher(suspect.id()).matches();
    }

    private static boolean isPackedRequest(Suspect suspect) {
        return PACKED_REQUEST.matcher(suspect.id()).matches();
    }

    /** Reads the numbers of a report; empty if they are malformed. */
    static Optional<SuspectNumbers> of(SuspectTable table) {
        if (table == null
                || table.parts() == null
                || table.requests() == null
                || table.others() == null) {
            return Optional.empty();
        }
        ImmutableList.Builder<Suspect> suspects = ImmutableList.builder();
        byte[] parts = table.parts().toArray();
        for (int i = 0; i + PART_BYTES <= parts.length; i += PART_BYTES) {
            suspects.add(new Suspect(HEX.encode(parts, i, PART_BYTES)));
        }
        byte[] requests = table.requests().toArray();
        for (int i = 0; i + Suspect.DIGEST_BYTES <= requests.length; i += Suspect.DIGEST_BYTES) {
            suspects.add(Suspect.request(requests, i));
        }
        table.others().forEach(id -> suspects.add(new Suspect(String.valueOf(id))));
        return Optional.of(new SuspectNumbers(suspects.build()));
    }

    /** Returns the table that a peer reads these numbers from. */
    SuspectTable table() {
        Buffer parts = Buffer.buffer();
        Buffer requests = Buffer.buffer();
        ImmutableList.Builder<String> others = ImmutableList.builder();
        for (Suspect suspect : mSuspects) {
            if (isPackedRequest(suspect)) {
                requests.appendBytes(suspect.digest());
            } else if (isPackedPart(suspect)) {
                parts.appendBytes(HEX.decode(suspect.id()));
            } else {
                others.add(suspect.id());
            }
        }
        return new SuspectTable(Bytes.of(parts), Bytes.of(requests), others.build());
    }

    /** Encodes a set of these suspects. */
    Bytes encode(ImmutableSet<Suspect> suspects) {
        BitSet bits = new BitSet();
        suspects.forEach(s -> bits.set(mNumbers.get(s)));
        return Bytes.of(bits.toByteArray());
    }

    /** Decodes a set; ignores numbers that the report doesn't explain. */
    ImmutableSet<Suspect> decode(Bytes bytes) {
        if (bytes == null) {
            return ImmutableSet.of();
        }
        return BitSet.valueOf(bytes.toArray()).stream()
                .filter(i -> i < mSuspects.size())
                .mapToObj(mSuspects::get)
                .collect(ImmutableSet.toImmutableSet());
    }
}
