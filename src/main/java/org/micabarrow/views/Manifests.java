package org.micabarrow.views;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which manifest is in force, and where the newest one stands that processes kept in the store. An older manifest that is
 * written late hides the newest from processes that start. Not safe for several threads at once.
 */
final class Manifests {

    private static final Logger LOG = LoggerFactory.getLogger(Manifests.class);

    /** The version of a manifest that is not known. */
    private static final long NONE = -1;

    private long inForce = NONE;

    /** The record of the manifest in force: an older one that is written late takes its place in the copy of the topic. */
    private Optional<StoredRecord> record = Optional.empty();

    /** Where the newest manifest stands that is known of, be it here or not. */
    private Optional<ManifestPosition> newest = Optional.empty();

    private long kept = NONE;
    private long keptOffset = NONE;

    // -- what operators wrote

    /**
     * Takes a manifest, and tells whether it is in force now. Manifests only go up: a write that got no answer may be done seconds
     * later, after that of a newer manifest.
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
        stands(new ManifestPosition(version, from.offset()));
        return true;
    }

    /** Takes note of where a manifest stands. */
    void stands(ManifestPosition place) {
        if (newestVersion() <= place.version()) {
            newest = Optional.of(place);
        }
    }

    /** Where the newest manifest stands that is known of; empty if none is. */
    Optional<ManifestPosition> newest() {
        return newest;
    }

    private long newestVersion() {
        return newest.map(ManifestPosition::version).orElse(NONE);
    }

    /** The record of the manifest in force, if it stands at or after an offset. */
    Optional<StoredRecord> newestRecord(long offset) {
        return record.filter(one -> one.offset() >= offset);
    }

    // -- what processes keep in the store

    /** Takes what lies in the store. */
    void takeKept(List<OperatorRecord> said) {
        for (OperatorRecord one : said) {
            if (one instanceof OperatorRecord.ManifestKept(long version, long offset) && version > kept) {
                kept = version;
                keptOffset = offset;
            }
        }
    }

    /**
     * Where a manifest stands that is known to be newer than the one in force; empty if none is. One that was told of, and stands
     * beyond what was read, is not lacking: this process does without it.
     */
    OptionalLong lacking(long readTo) {
        boolean passedOver = kept <= newestVersion() && keptOffset >= readTo;
        return kept > inForce && !passedOver ? OptionalLong.of(keptOffset) : OptionalLong.empty();
    }

    /** The newest manifest, if it is not known to lie in the store under a key of its own. */
    Optional<UnsavedItem> unkept(TopicCopy lying) {
        return newest.filter(place ->
                        lying.record(VersionKeys.ofManifest(place.version())).isEmpty())
                .map(place -> new UnsavedItem.Manifest(
                        place.version(), place.offset(), VersionKeys.outdatedManifests(lying.keys(), place.version())));
    }
}
