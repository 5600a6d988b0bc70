package org.micabarrow.platform;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the parts of prompts as the platform lists them: {@code ID:TOKENS} in order, joined by commas. */
final class PromptPartList {

    /** The most parts that are considered: more than any prompt has; the request is passed on with all of them. */
    private static final int MAX_PARTS = 64;

    private static final Pattern PART = Pattern.compile("\\s*([0-9a-fA-F]{1,32}):[0-9]{1,9}\\s*");

    private PromptPartList() {}

    /**
     * Returns the ids of the parts that other prompts may share: all but the last, which belongs to the request or its
     * session. A part that is listed twice counts once. A list with a malformed part has none, since the order of the
     * others is unknown.
     *
     * @param lists the values of the header
     * @return the ids in lower case
     */
    static Set<String> shared(Collection<String> lists) {
        Set<String> shared = new LinkedHashSet<>();
        Optional<String> last = Optional.empty();
        for (String part : String.join(",", lists).split(",", -1)) {
            Matcher matcher = PART.matcher(part);
            if (!matcher.matches()) {
                return Set.of();
            }
            last.filter(id -> shared.size() < MAX_PARTS).ifPresent(shared::add);
            last = Optional.of(matcher.group(1).toLowerCase(Locale.ROOT));
        }
        return shared;
    }
}
