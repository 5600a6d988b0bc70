package org.micabarrow.views;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the active manifest and the position of the newest manifest that any process has saved in the store. An older
 * manifest that is written late replaces the newest one in the topic, so that processes that start then do not see the
 * newest. Not thread-safe.
 */
final class ManifestTracker {

    private static final Logger LOG = LoggerFactory.getLogger(ManifestTracker.class);

    /** Denotes an unknown manifest version or offset. */
    private static final long NONE = -1;

    private long activeVersion = NONE;

    /** The record of the active manifest. The topic copy loses it when an older manifest is written late. */
    private Optional<StoredRecord> activeRecord = Optional.empty();

    /** The position of the newest known manifest, whether or not this process has it. */
    private Optional<ManifestPosition> newestPosition = Optional.empty();

    private long savedVersion = NONE;
    private long savedOffset = NONE;

    // -- operator records

    /**
     * Accepts a manifest and returns whether it is now active. The version never decreases: a write whose response was
     * lost may take effect seconds later, after that of a newer manifest.
     */
    boolean accept(StoredRecord record, RouteManifest manifest) {
        long version = manifest.version();
        if (version < activeVersion) {
            LOG.warn(
                    "event=manifest_written_late version={} {} kept={}",
                    version,
                    EraOffset.toLog(record.offset()),
                    activeVersion);
            return false;
        }
        LOG.info(
                "event=manifest_in_force version={} {} before={}",
                version,
                EraOffset.toLog(record.offset()),
                activeVersion);
        activeVersion = version;
        activeRecord = Optional.of(record);
        recordPosition(new ManifestPosition(version, record.offset()));
        return true;
    }

    /** Whether a manifest is newer than the active one. */
    boolean isNewer(RouteManifest manifest) {
        return manifest.version() > activeVersion;
    }

    /** Records the position of a manifest. A restored store has it at another one once it is written again. */
    void recordPosition(ManifestPosition position) {
        boolean known = newestPosition
                .filter(newest -> newest.version() > position.version()
                        || newest.version() == position.version() && newest.offset() >= position.offset())
                .isPresent();
        if (!known) {
            newestPosition = Optional.of(position);
        }
    }

    /** The position of the newest known manifest; empty if none is known. */
    Optional<ManifestPosition> newestPosition() {
        return newestPosition;
    }

    private long newestVersion() {
        return newestPosition.map(ManifestPosition::version).orElse(NONE);
    }

    /** The record of the active manifest, if its offset is at or after the given one. */
    Optional<StoredRecord> activeRecordFrom(long offset) {
        return activeRecord.filter(item -> item.offset() >= offset);
    }

    // -- records saved by processes

    /** Applies manifest positions read from the store. */
    void applySaved(List<OperatorRecord> saved) {
        for (OperatorRecord item : saved) {
            if (item instanceof OperatorRecord.SavedManifest(long version, long offset) && version > savedVersion) {
                savedVersion = version;
                savedOffset = offset;
            }
        }
    }

    /**
     * The offset of a manifest known to be newer than the active one; empty if there is none. A manifest that a peer
     * reported and that is beyond the records read so far is not missing: this process does not need it.
     */
    OptionalLong missingOffset(long readTo) {
        boolean notNeeded = savedVersion <= newestVersion() && savedOffset >= readTo;
        return savedVersion > activeVersion && !notNeeded ? OptionalLong.of(savedOffset) : OptionalLong.empty();
    }

    /** The newest manifest, if it is not known to be saved in the store under its own key. */
    Optional<UnsavedItem> unsaved(TopicCopy savedCopy) {
        return newest(savedCopy).filter(newest -> savedCopy.record(newest.key()).isEmpty());
    }

    /** The newest manifest as it is to be saved, whether or not it is. */
    Optional<UnsavedItem> newest(TopicCopy savedCopy) {
        return newestPosition.map(position -> new UnsavedItem.Manifest(
                position.version(),
                position.offset(),
                VersionKeys.outdatedManifests(savedCopy.keys(), position.version())));
    }
}
