package org.micabarrow.platform;

import java.util.OptionalLong;
import org.micabarrow.views.NamingTime;

/**
 * A read of a topic's records that the store was asked for.
 *
 * @param from the first offset to read
 * @param sentMillis a time before the read was sent
 * @param waitMillis how long the store may delay its answer while there is no record
 */
record AskedRead(long from, long sentMillis, long waitMillis) {

    /**
     * Returns the time up to which an answer contains everything that was written. If the answer reaches the topic's end, that is
     * when the read was sent. If it contains no record and arrived after the whole wait, the store delayed it that long, and the
     * time is the end of the wait. If it ends before the topic's end, as long answers of the store do, there is no such time.
     *
     * @param readTo the offset after the last record of the answer
     * @param end the topic's end as stated in the answer
     * @param nowMillis the time at which the answer arrived
     * @return the time, empty if there is none
     */
    OptionalLong asOf(long readTo, long end, long nowMillis) {
        if (readTo < end) {
            return OptionalLong.empty();
        }
        boolean delayedForWholeWait = readTo == from && nowMillis - sentMillis >= waitMillis;
        return OptionalLong.of(delayedForWholeWait ? sentMillis + waitMillis : sentMillis);
    }

    /**
     * Returns a time before which none of the records of an answer was written. The store answers as soon as there is a record, so
     * if it took longer than a delivery does, there was none when the read arrived; and a process that was not paused has the
     * answer within the time of a delivery.
     *
     * @param nowMillis the time at which the answer arrived
     * @param attentiveUntilMillis the time until which the process had handled what reached it
     * @return the time, empty if the records may have been there when the read arrived
     */
    OptionalLong notBefore(long nowMillis, long attentiveUntilMillis) {
        return waitMillis > 0 && nowMillis - sentMillis >= NamingTime.MAX_DELIVERY_MILLIS
                ? OptionalLong.of(Math.max(sentMillis, attentiveUntilMillis - NamingTime.MAX_DELIVERY_MILLIS))
                : OptionalLong.empty();
    }
}
