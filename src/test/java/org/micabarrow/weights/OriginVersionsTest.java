package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.weights.OriginVersions.VersionDigests;

/** Guards against a corrupted answer of the origin that names a version which nobody named. */
class OriginVersionsTest {

    private static final List<String> TWO = List.of("2a", "2b");
    private static final List<String> THREE = List.of("3a", "3b");

    /** An origin that states a newest version with its digests, and has digests of versions 2 and 3. */
    private record Origin(VersionDigests stated) implements OriginVersions.Origin {

        @Override
        public Result<VersionDigests> newest(String address, String model) {
            return Result.success(stated);
        }

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            return Optional.ofNullable(Map.of(2L, TWO, 3L, THREE).get(version))
                    .map(Result::success)
                    .orElseGet(() -> Result.failure(Fault.of(Step.FETCH, address, Reason.NOT_FOUND, "404")));
        }
    }

    private static Result<Long> newest(long version, List<String> digests) {
        return new OriginVersions(new Origin(new VersionDigests(version, digests)), () -> Optional.of("o:1"))
                .newestVersion("m");
    }

    @Test
    void shouldKnowNewestVersionWhenItsDigestsAreTheSame() {
        assertEquals(Result.success(3L), newest(3, THREE));
    }

    @Test
    void shouldNotTakeVersionThatOriginDoesNotHave() {
        assertInstanceOf(Result.Failure.class, newest(7, THREE));
    }

    @Test
    void shouldNotTakeVersionWhoseDigestsDiffer() {
        assertInstanceOf(Result.Failure.class, newest(2, THREE));
    }

    @Test
    void shouldKnowNothingWhenManifestNamesNoOrigin() {
        Result<Long> unknown =
                new OriginVersions(new Origin(new VersionDigests(3, THREE)), Optional::empty).newestVersion("m");
        assertEquals(Optional.of(Reason.NOT_FOUND), unknown.cause().map(Fault::reason));
    }
}
