package org.micabarrow.platform;

import java.util.OptionalLong;

/**
 * A question for the records of a topic.
 *
 * @param from the offset from which on records are wanted
 * @param sentMillis a moment before the question was sent
 * @param waitMillis how long the store may hold the answer if there is no record yet
 */
record AskedRead(long from, long sentMillis, long waitMillis) {

    /**
     * Up to which moment an answer tells all that was written. One that reaches the topic's end tells all until the question was
     * sent. One without a record that comes after the whole wait was held that long, and tells all until the wait's end. One that
     * breaks off before the end, as the store's long ones do, tells of no moment.
     *
     * @param readTo the offset after the last record of the answer
     * @param end the topic's end, as the answer names it
     * @param nowMillis when the answer had come
     * @return the moment, empty if there is none
     */
    OptionalLong asOf(long readTo, long end, long nowMillis) {
        if (readTo < end) {
            return OptionalLong.empty();
        }
        boolean heldToTheEnd = readTo == from && nowMillis - sentMillis >= waitMillis;
        return OptionalLong.of(heldToTheEnd ? sentMillis + waitMillis : sentMillis);
    }
}
