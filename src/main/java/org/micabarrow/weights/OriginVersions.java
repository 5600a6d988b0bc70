package org.micabarrow.weights;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.views.NewestVersionSource;

/**
 * The newest versions as the origin knows them. What it sends may be corrupted, and a version that nobody named would be
 * waited for without an end, so the answer counts only if the origin has the same digests under that version.
 */
public final class OriginVersions implements NewestVersionSource {

    private final Origin origin;
    private final Supplier<Optional<String>> address;

    /** The requests for digests that the origin answers. */
    public interface Origin {

        /**
         * Requests the digests of the version that was named last.
         *
         * @param address the origin's address
         * @param model the model
         * @return the version and its digests
         */
        Result<VersionDigests> newest(String address, String model);

        /**
         * Requests the digests of a version's chunks.
         *
         * @param address the origin's address
         * @param model the model
         * @param version the version
         * @return the digests, in chunk order
         */
        Result<List<String>> digests(String address, String model, long version);
    }

    /**
     * The digests of a version's chunks.
     *
     * @param version the version
     * @param digests the digests, in chunk order
     */
    public record VersionDigests(long version, List<String> digests) {

        /** Copies the digests. */
        public VersionDigests {
            digests = List.copyOf(digests);
        }
    }

    /**
     * Creates a source.
     *
     * @param origin sends its requests
     * @param address the origin's address, empty while it is unknown
     */
    public OriginVersions(Origin origin, Supplier<Optional<String>> address) {
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.address = Objects.requireNonNull(address, "address is null");
    }

    @Override
    public Result<Long> newestVersion(String model) {
        return address.get()
                .map(known -> origin.newest(known, model).flatMap(newest -> confirmed(known, model, newest)))
                .orElseGet(() -> Result.failure(
                        Fault.of(Step.FETCH, "origin", Reason.NOT_FOUND, "the manifest names no origin")));
    }

    private Result<Long> confirmed(String known, String model, VersionDigests newest) {
        Result<List<String>> digests = origin.digests(known, model, newest.version());
        return digests.flatMap(same -> same.equals(newest.digests())
                ? Result.success(newest.version())
                : Result.failure(Fault.of(
                        Step.FETCH,
                        known,
                        Reason.CORRUPT,
                        "the digests of version " + newest.version() + " differ between two answers")));
    }
}
