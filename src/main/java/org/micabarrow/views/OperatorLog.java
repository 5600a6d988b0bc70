package org.micabarrow.views;

import org.micabarrow.state.Fault;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the effects of operator records, and why some records have no effect. */
final class OperatorLog {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorLog.class);

    private OperatorLog() {}

    private static String position(StoredRecord record) {
        return EraOffset.toLog(record.offset());
    }

    static void unusedRecord(StoredRecord record) {
        LOG.debug("event=record_unused key={}", record.key());
    }

    static void ignoredDeletion(StoredRecord record) {
        LOG.warn("event=operator_record_dropped key={} {} kept=last", record.key(), position(record));
    }

    static void evacuation(StoredRecord record, String hall) {
        LOG.warn(
                "event={} hall={} {}",
                record.isTombstone() ? "hall_returned" : "hall_evacuated",
                hall,
                position(record));
    }

    static void evacuationUnconfirmed(StoredRecord record, String hall) {
        LOG.warn("event=evacuation_unconfirmed hall={} {} kept=evacuated", hall, position(record));
    }

    static void evacuationNotConfirmed(String hall) {
        LOG.warn("event=hall_returned hall={} why=\"no operator has confirmed the evacuation\"", hall);
    }

    static void evacuationOutdated(StoredRecord record, String hall) {
        LOG.warn("event=evacuation_outdated hall={} {} kept=returned", hall, position(record));
    }

    static void unknownHall(StoredRecord record) {
        LOG.warn("event=hall_unknown key={} {} effect=none", record.loggableKey(), position(record));
    }

    static void invalidRecord(StoredRecord record, Fault fault) {
        LOG.error("event=record_refused key={} {} why=\"{}\"", record.loggableKey(), position(record), fault);
    }

    static void targetNamed(String model, View.Target target, long millisAgo, String source) {
        LOG.info(
                "event=weights_named model={} version={} seen={} msAgo={} from={}",
                model,
                target.version(),
                target.namingObserved(),
                millisAgo,
                source);
    }

    static void accountTaken(NamingAccount account, long notBeforeMillisAgo) {
        LOG.info(
                "event=weights_named_account model={} version={} notBeforeMsAgo={}",
                account.model(),
                account.version(),
                notBeforeMillisAgo);
    }

    static void outdatedTargetNamed(StoredRecord record, String model, long version, long newest) {
        LOG.warn("event=weights_named_late model={} version={} {} newest={}", model, version, position(record), newest);
    }
}
