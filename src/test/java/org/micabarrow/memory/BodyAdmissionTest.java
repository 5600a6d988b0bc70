package org.micabarrow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a process that takes bodies until it has no memory, and against one that refuses small requests for large ones. */
class BodyAdmissionTest {

    /** What the smallest entry may hold. */
    private static final long LIMIT = 32L << 20;

    @ParameterizedTest
    @CsvSource({
        "0, 0, true",
        "4194304, 0, true",
        "4194304, 20971520, true",
        "4194304, 20971521, false",
        "65537, 25165824, false",
        "65536, 25165824, true",
        "65536, 33488896, true",
        "65536, 33488897, false",
        "0, 33554432, true",
        "9223372036854775807, 0, false"
    })
    void shouldRefuseLargeBodiesBeforeSmallOnes(long bodyBytes, long heldBytes, boolean admitted) {
        assertEquals(admitted, BodyAdmission.admits(bodyBytes, heldBytes, LIMIT));
    }
}
