package org.micabarrow.crashes;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parts of prompts on which endpoints have given whole answers, the most recent ones. Not thread-safe: guarded by its {@link
 * CrashRegistry}.
 */
final class AnsweredParts {

    private static final int MAX_PARTS = 4_096;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<PromptPart, Boolean> parts = new LinkedHashMap<>(16, LOAD_FACTOR, true) {

        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPart, Boolean> eldest) {
            return size() > MAX_PARTS;
        }
    };

    void add(PromptPart part) {
        parts.put(part, true);
    }

    boolean contains(Cause cause) {
        return cause instanceof PromptPart part && parts.containsKey(part);
    }
}
