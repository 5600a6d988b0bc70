package org.micabarrow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a limit above what the heap or the instance leaves. */
class MemoryLimitTest {

    private static final long HEAP = 96L << 20;

    @ParameterizedTest
    @CsvSource({
        "282, 33554432",
        "430, 33554432",
        "128, 16000000",
        "0, 33554432",
        "-5, 33554432",
        "9223372036854775807, 33554432"
    })
    void shouldTakeSmallerOfHeapAndInstance(long megabytes, long expectedBytes) {
        assertEquals(expectedBytes, MemoryLimit.bytes(HEAP, OptionalLong.of(megabytes)));
    }

    @Test
    void shouldGoByHeapWhenMemoryOfInstanceIsNotStated() {
        assertEquals(HEAP / 3, MemoryLimit.bytes(HEAP, OptionalLong.empty()));
    }
}
