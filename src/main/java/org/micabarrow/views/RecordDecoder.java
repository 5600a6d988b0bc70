package org.micabarrow.views;

import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.Result;

/** Decodes records of the store. */
public interface RecordDecoder {

    /** The content of an operator record. */
    sealed interface OperatorRecord {

        /**
         * A manifest.
         *
         * @param manifest the manifest
         */
        record ManifestPublished(RouteManifest manifest) implements OperatorRecord {}

        /**
         * The weight version that the endpoints of a model should hold.
         *
         * @param model the model
         * @param version the version
         * @param namedMillis the Unix time in milliseconds from which the process that saved the record counted the
         *     bound of older versions; empty in records that operators wrote
         * @param namedByMillis the Unix time in milliseconds by which the version was named, at the latest; empty if
         *     the process that saved the record did not know
         */
        record WeightsNamed(String model, long version, OptionalLong namedMillis, OptionalLong namedByMillis)
                implements OperatorRecord {}

        /**
         * The position of a manifest that was active, as saved by a process of this system.
         *
         * @param version the version of the manifest
         * @param offset its offset among the operator records
         */
        record SavedManifest(long version, long offset) implements OperatorRecord {}

        /** A record that this system does not use. */
        record UnusedRecord() implements OperatorRecord {}
    }

    /**
     * Whether an operator record is a manifest, valid or not.
     *
     * @param key the key of the record
     * @return true if it is a manifest
     */
    boolean isManifest(String key);

    /**
     * The data hall that an operator record evacuates. It is evacuated while the record's key has a value, whichever,
     * and gets requests again once the key is deleted.
     *
     * @param key the key of the record
     * @return the data hall, known or not; empty if the record is about something else
     */
    default Optional<String> evacuatedHall(String key) {
        return Optional.empty();
    }

    /**
     * Decodes an operator record, or a record that processes of this system saved about one.
     *
     * @param record the record, which must not be a tombstone
     * @return the content, or why the record is invalid
     */
    Result<OperatorRecord> decodeOperatorRecord(StoredRecord record);

    /**
     * The offset of operator records before which everything was known and saved when a process saved a record.
     *
     * @param record the saved record, which must not be a tombstone
     * @return the offset, empty if the record states none
     */
    default OptionalLong savedReadTo(StoredRecord record) {
        return OptionalLong.empty();
    }

    /**
     * Decodes the entry of an endpoint.
     *
     * @param record the record, which must not be a tombstone
     * @return the entry, or why the record is invalid
     */
    Result<EndpointRegistration> decodeEndpointRegistration(StoredRecord record);
}
