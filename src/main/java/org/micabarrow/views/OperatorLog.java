package org.micabarrow.views;

import org.micabarrow.state.Fault;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the effects of operator records, and why some records have no effect. */
final class OperatorLog {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorLog.class);

    private OperatorLog() {}

    static void unusedRecord(StoredRecord record) {
        LOG.debug("event=record_unused key={}", record.key());
    }

    static void ignoredDeletion(StoredRecord record) {
        LOG.warn("event=operator_record_dropped key={} offset={} kept=last", record.key(), record.offset());
    }

    static void evacuation(StoredRecord record, String hall) {
        LOG.warn(
                "event={} hall={} offset={}",
                record.isTombstone() ? "hall_returned" : "hall_evacuated",
                hall,
                record.offset());
    }

    static void unknownHall(StoredRecord record) {
        LOG.warn("event=hall_unknown key={} offset={} effect=none", record.loggableKey(), record.offset());
    }

    static void invalidRecord(StoredRecord record, Fault fault) {
        LOG.error("event=record_refused key={} offset={} why=\"{}\"", record.loggableKey(), record.offset(), fault);
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

    static void outdatedTargetNamed(StoredRecord record, String model, long version, long newest) {
        LOG.warn(
                "event=weights_named_late model={} version={} offset={} newest={}",
                model,
                version,
                record.offset(),
                newest);
    }
}
