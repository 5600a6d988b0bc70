package org.micabarrow.views;

import java.util.OptionalLong;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.Result;

/** Turns the store's records into the project's types. */
public interface RecordDecoder {

    /** What an operator's record says. */
    sealed interface OperatorRecord {

        /**
         * A manifest.
         *
         * @param manifest the manifest
         */
        record ManifestSet(RouteManifest manifest) implements OperatorRecord {}

        /**
         * The weight version that a model's endpoints are to hold.
         *
         * @param model the model
         * @param version the version
         * @param namedMillis the Unix millisecond at which a process learned of it; empty in what operators write
         */
        record WeightsNamed(String model, long version, OptionalLong namedMillis) implements OperatorRecord {}

        /**
         * A manifest that was in force, in what processes of this system keep.
         *
         * @param version its version
         * @param offset its offset among what operators wrote
         */
        record ManifestKept(long version, long offset) implements OperatorRecord {}

        /** Something that this system does not use. */
        record Unused() implements OperatorRecord {}
    }

    /**
     * Whether an operator's record is a manifest, be it one that can be read or not.
     *
     * @param key the record's key
     * @return true if it is
     */
    boolean isManifest(String key);

    /**
     * Reads an operator's record, or one that processes of this system keep.
     *
     * @param record the record, not dropped
     * @return what it says, or why it cannot be read
     */
    Result<OperatorRecord> operator(StoredRecord record);

    /**
     * Reads an endpoint's entry.
     *
     * @param record the record, not dropped
     * @return the entry, or why it cannot be read
     */
    Result<EndpointRegistration> endpoint(StoredRecord record);
}
