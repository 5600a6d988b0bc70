package org.micabarrow.views;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The offsets of a topic that the latest records of its keys do not account for. The records there were replaced or
 * deleted by later ones; a record that was replaced by an older one, which was written late, is among them.
 *
 * @param from the first such offset
 * @param to the offset after the last one, in the same era
 */
record HistoryGap(long from, long to) {

    /**
     * Returns the gap between the latest records.
     *
     * @param latest the latest record of each key
     * @param knownTo the offset before which all records are known
     * @param end the end of the topic; if the store continued from an older copy since, nothing is known before it
     * @return the gap, empty if every record is known
     */
    static Optional<HistoryGap> between(Collection<StoredRecord> latest, long knownTo, long end) {
        Set<Long> offsets = latest.stream().map(StoredRecord::offset).collect(Collectors.toSet());
        long from = EraOffset.era(knownTo) == EraOffset.era(end) ? knownTo : EraOffset.of(EraOffset.era(end), 0);
        while (from < end && offsets.contains(from)) {
            from++;
        }
        long to = end;
        while (to > from && offsets.contains(to - 1)) {
            to--;
        }
        return from < to ? Optional.of(new HistoryGap(from, to)) : Optional.empty();
    }

    /**
     * The part of the gap that is not known to others.
     *
     * @param savedReadTo the offset before which another process knew all records; ignored if it is of another era
     * @return the part, empty if others know all of it
     */
    Optional<HistoryGap> after(OptionalLong savedReadTo) {
        long known = savedReadTo.stream()
                .filter(offset -> EraOffset.era(offset) == EraOffset.era(to))
                .findFirst()
                .orElse(from);
        return known < to ? Optional.of(new HistoryGap(Math.max(from, known), to)) : Optional.empty();
    }

    /** The number of offsets. */
    long size() {
        return to - from;
    }

    /** The gap's last offsets, as many as given at most. */
    HistoryGap last(long count) {
        return new HistoryGap(Math.max(from, to - count), to);
    }

    String toLog() {
        return "from=" + EraOffset.offset(from) + " to=" + EraOffset.offset(to) + " era=" + EraOffset.era(to);
    }
}
