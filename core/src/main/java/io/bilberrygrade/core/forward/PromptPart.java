package io.bilberrygrade.core.forward;

/**
 * Part of a prompt that several requests may share, such as a common introduction or document.
 *
 * @param id identifies the part's content
 */
public record PromptPart(String id) implements Comparable<PromptPart> {
    @Override
    public int compareTo(PromptPart other) {
        return id.compareTo(other.id);
    }

    @Override
    public String toString() {
        return id;
    }
}
