package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class HistoryGapTest {

    private static Optional<HistoryGap> gap(long knownTo, long end, long... offsets) {
        List<StoredRecord> latest = LongStream.of(offsets)
                .mapToObj(offset -> new StoredRecord("key-" + offset, offset, new byte[1]))
                .toList();
        return HistoryGap.between(latest, knownTo, end);
    }

    @Test
    void shouldHaveNoGapWhenEveryRecordIsLatestOfItsKey() {
        assertEquals(Optional.empty(), gap(0, 0));
        assertEquals(Optional.empty(), gap(0, 3, 2, 0, 1));
    }

    @Test
    void shouldHaveNoGapWhenReplacedRecordsAreKnown() {
        assertEquals(Optional.empty(), gap(3, 4, 0, 3));
        assertEquals(Optional.empty(), gap(4, 4, 0, 3));
    }

    @Test
    void shouldReachFromFirstToLastReplacedRecord() {
        assertEquals(Optional.of(new HistoryGap(2, 3)), gap(0, 4, 0, 1, 3));
        assertEquals(Optional.of(new HistoryGap(1, 6)), gap(0, 7, 0, 3, 6));
        assertEquals(Optional.of(new HistoryGap(4, 6)), gap(4, 7, 0, 3, 6));
    }

    /** A deletion at the end is not among the latest records. */
    @Test
    void shouldReachToEndWhenLastRecordIsDeletion() {
        assertEquals(Optional.of(new HistoryGap(1, 2)), gap(0, 2, 0));
    }

    /** Offsets are given out again in a later era. */
    @Test
    void shouldStartAnewWhenStoreContinuedFromOlderCopy() {
        long end = EraOffset.of(1, 3);
        assertEquals(
                Optional.of(new HistoryGap(EraOffset.of(1, 0), EraOffset.of(1, 2))), gap(2, end, EraOffset.of(1, 2)));
    }

    @Test
    void shouldBeNarrowedByWhatOthersKnowInSameEra() {
        HistoryGap gap = new HistoryGap(EraOffset.of(1, 2), EraOffset.of(1, 6));
        assertEquals(Optional.of(gap), gap.after(OptionalLong.empty()));
        assertEquals(Optional.of(gap), gap.after(OptionalLong.of(9)), "of another era");
        assertEquals(Optional.of(gap), gap.after(OptionalLong.of(EraOffset.of(1, 1))));
        assertEquals(
                Optional.of(new HistoryGap(EraOffset.of(1, 4), EraOffset.of(1, 6))),
                gap.after(OptionalLong.of(EraOffset.of(1, 4))));
        assertEquals(Optional.empty(), gap.after(OptionalLong.of(EraOffset.of(1, 6))));
    }
}
