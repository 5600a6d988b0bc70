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

    /** Stands for an unknown manifest version or offset. */
    private static final long NONE = -1;

    private long inForce = NONE;

    /** The record of the active manifest. The topic copy loses it when an older manifest is written late. */
    private Optional<StoredRecord> record = Optional.empty();

    /** The position of the newest known manifest, whether or not this process has it. */
    private Optional<ManifestPlace> newest = Optional.empty();

    private long kept = NONE;
    private long keptOffset = NONE;

    // -- operator records

    /**
     * Accepts a manifest and returns whether it is now active. The version never decreases: a write whose response was
     * lost may take effect seconds later, after that of a newer manifest.
     */
    boolean take(StoredRecord from, RouteManifest manifest) {
        long version = manifest.version();
        if (version < inForce) {
            LOG.warn("event=manifest_written_late version={} offset={} kept={}", version, from.offset(), inForce);
            return false;
        }
        LOG.info("event=manifest_in_force version={} offset={} before={}", version, from.offset(), inForce);
        inForce = version;
        record = Optional.of(from);
        stands(new ManifestPlace(version, from.offset()));
        return true;
    }

    /** Records the position of a manifest. */
    void stands(ManifestPlace place) {
        if (newestVersion() <= place.version()) {
            newest = Optional.of(place);
        }
    }

    /** The position of the newest known manifest; empty if none is known. */
    Optional<ManifestPlace> newest() {
        return newest;
    }

    private long newestVersion() {
        return newest.map(ManifestPlace::version).orElse(NONE);
    }

    /** The record of the active manifest, if its offset is at or after the given one. */
    Optional<StoredRecord> newestRecord(long offset) {
        return record.filter(one -> one.offset() >= offset);
    }

    // -- records saved by processes

    /** Applies manifest positions read from the store. */
    void takeKept(List<OperatorRecord> said) {
        for (OperatorRecord one : said) {
            if (one instanceof OperatorRecord.ManifestKept(long version, long offset) && version > kept) {
                kept = version;
                keptOffset = offset;
            }
        }
    }

    /**
     * The offset of a manifest known to be newer than the active one; empty if there is none. A manifest that a peer
     * reported and that is beyond the records read so far is not missing: this process does not need it.
     */
    OptionalLong lacking(long readTo) {
        boolean passedOver = kept <= newestVersion() && keptOffset >= readTo;
        return kept > inForce && !passedOver ? OptionalLong.of(keptOffset) : OptionalLong.empty();
    }

    /** The newest manifest, if it is not known to be saved in the store under its own key. */
    Optional<Unkept> unkept(TopicCopy lying) {
        return newest.filter(place ->
                        lying.record(VersionKeys.ofManifest(place.version())).isEmpty())
                .map(place -> new Unkept.Manifest(
                        place.version(), place.offset(), VersionKeys.outdatedManifests(lying.keys(), place.version())));
    }
}
