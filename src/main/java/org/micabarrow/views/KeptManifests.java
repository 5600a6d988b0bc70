package org.micabarrow.views;

import java.util.List;
import java.util.OptionalLong;
import org.micabarrow.views.RecordDecoder.OperatorRecord;

/**
 * The newest manifest that processes kept in the store, and where it stands among what operators wrote. An older manifest that
 * is written late hides it from processes that start. Not safe for several threads at once.
 */
final class KeptManifests {

    private long version = -1;
    private long offset = -1;

    /** Takes what lies in the store. */
    void take(List<OperatorRecord> said) {
        for (OperatorRecord one : said) {
            if (one instanceof OperatorRecord.ManifestKept kept && kept.version() > version) {
                version = kept.version();
                offset = kept.offset();
            }
        }
    }

    /** Where the newest kept manifest stands, if it is newer than one; the version is -1 if none is known. */
    OptionalLong offsetOfNewerThan(long known) {
        return version > known ? OptionalLong.of(offset) : OptionalLong.empty();
    }
}
