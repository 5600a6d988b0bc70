package org.micabarrow.crashes;

import java.util.HexFormat;
import java.util.Objects;

/**
 * A part of a prompt that the prompts of several requests may share, such as a system prompt.
 *
 * @param id the id by which clients state it, in hexadecimal
 */
public record PromptPart(String id) implements Cause {

    /** The longest accepted id, in digits. */
    public static final int MAX_ID_LENGTH = 32;

    /** Checks the length and the digits. */
    public PromptPart {
        Objects.requireNonNull(id, "id is null");
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw new IllegalArgumentException("id of a prompt part has " + id.length() + " digits instead of 1 to 32");
        }
        if (!id.chars().allMatch(HexFormat::isHexDigit)) {
            throw new IllegalArgumentException("id of a prompt part is not hexadecimal");
        }
    }

    @Override
    public String description() {
        return "part " + id;
    }

    @Override
    public String toString() {
        return id;
    }
}
