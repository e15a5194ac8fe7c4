package io.bilberrygrade.core.forward;

/**
 * Part of a prompt that several requests may share, such as a common introduction or document.
 *
 * @param id identifies the part's content
 */
public record PromptPart(String id) {
    @Override
    public String toString() {
        return id;
    }
}
