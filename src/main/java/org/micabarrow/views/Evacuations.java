package org.micabarrow.views;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The data halls that operators have evacuated. A store that continues from an older copy may have lost an evacuation
 * or its end, which operators write again; until then, what is known here stays in force. Not thread-safe.
 */
final class Evacuations {

    /**
     * How long an evacuation that a restored store lacks stays in force, in milliseconds. Operators write again within
     * seconds; an evacuation whose end was lost without being read here must not last forever.
     */
    static final long UNCONFIRMED_MILLIS = 10_000;

    private final Predicate<String> isKnownHall;
    private final Map<String, Long> lastEvacuated = new HashMap<>();
    private final Map<String, Long> unconfirmedUntilMillis = new HashMap<>();

    Evacuations(Predicate<String> isKnownHall) {
        this.isKnownHall = isKnownHall;
    }

    /** Applies a record about a data hall, and returns the resulting view. */
    View apply(StoredRecord record, String hall, Continuity continuity, View view, long nowMillis) {
        if (!isKnownHall.test(hall)) {
            OperatorLog.unknownHall(record);
            return view;
        }
        return switch (continuity) {
            case CONTINUED -> applyCurrent(record, hall, view);
            case RESTORED -> applyRestored(record, hall, view, nowMillis);
        };
    }

    private View applyCurrent(StoredRecord record, String hall, View view) {
        unconfirmedUntilMillis.remove(hall);
        if (!record.isTombstone()) {
            lastEvacuated.put(hall, record.offset());
        }
        boolean evacuated = !record.isTombstone();
        if (view.evacuatedHalls().contains(hall) == evacuated) {
            return view;
        }
        OperatorLog.evacuation(record, hall);
        return view.withEvacuation(hall, evacuated);
    }

    /** Applies a record of a restored store, in which a tombstone is a key that the older copy lacked. */
    private View applyRestored(StoredRecord record, String hall, View view, long nowMillis) {
        boolean listed = view.evacuatedHalls().contains(hall);
        if (record.isTombstone() && listed) {
            OperatorLog.evacuationUnconfirmed(record, hall);
            unconfirmedUntilMillis.put(hall, nowMillis + UNCONFIRMED_MILLIS);
            return view;
        }
        if (!listed && isEndedEvacuation(record, hall)) {
            OperatorLog.evacuationOutdated(record, hall);
            return view;
        }
        return applyCurrent(record, hall, view);
    }

    /** Whether a record is the evacuation whose end is known here, at the same offset as before the restore. */
    private boolean isEndedEvacuation(StoredRecord record, String hall) {
        return !record.isTombstone()
                && lastEvacuated.containsKey(hall)
                && EraOffset.offset(lastEvacuated.get(hall)) == EraOffset.offset(record.offset());
    }

    /** Ends the evacuations that no operator has confirmed in time. */
    View withoutUnconfirmed(View view, long nowMillis) {
        View after = view;
        List<String> due = unconfirmedUntilMillis.keySet().stream()
                .filter(hall -> unconfirmedUntilMillis.get(hall) <= nowMillis)
                .toList();
        for (String hall : due) {
            unconfirmedUntilMillis.remove(hall);
            OperatorLog.evacuationNotConfirmed(hall);
            after = after.withEvacuation(hall, false);
        }
        return after;
    }
}
