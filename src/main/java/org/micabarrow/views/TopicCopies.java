package org.micabarrow.views;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The copies of all topics of the store. Not thread-safe: guarded by its {@link ViewMaintainer}. */
final class TopicCopies {

    private static final Logger LOG = LoggerFactory.getLogger(ViewMaintainer.class);

    private final Map<Topic, TopicCopy> copies = new EnumMap<>(Topic.class);

    /** Creates copies without records. */
    TopicCopies() {
        for (Topic topic : Topic.values()) {
            copies.put(topic, new TopicCopy());
        }
    }

    /**
     * Returns the copy of a topic.
     *
     * @param topic the topic
     * @return its copy
     */
    TopicCopy of(Topic topic) {
        return copies.get(topic);
    }

    /**
     * Returns the offset from which a topic is to be read next.
     *
     * @param topic the topic
     * @return the offset
     */
    long end(Topic topic) {
        return of(topic).end();
    }

    /**
     * Returns whether records that were just read continue a copy, and logs if they do not.
     *
     * @param topic the topic
     * @param readTo the offset up to which the topic was read
     * @return whether the store continued or was restored since the copy was last changed
     */
    Continuity continuity(Topic topic, long readTo) {
        if (!of(topic).isOfLaterEra(readTo)) {
            return Continuity.CONTINUED;
        }
        LOG.warn(
                "event=topic_restored topic={} {} before=\"{}\"",
                topic,
                EraOffset.toLog(readTo),
                EraOffset.toLog(end(topic)));
        return Continuity.RESTORED;
    }

    /** Returns whether the store was restored since the records that processes save were read. */
    boolean isSavedOutdated() {
        long known = Math.max(EraOffset.era(end(Topic.OPERATOR)), EraOffset.era(end(Topic.ENDPOINTS)));
        return EraOffset.era(end(Topic.NAMED)) < known;
    }
}
