package org.micabarrow.memory;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against JSON whose values become far more in memory than they are on the wire. */
class JsonMemoryTest {

    private static long treeBytes(String json) {
        return JsonMemory.treeBytes(json.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void shouldCountSmallValuesManyTimesAndLongTextFewTimes() {
        assertTrue(treeBytes("[" + "{},".repeat(1_000) + "{}]") > 20 * 3_000);
        assertTrue(treeBytes("\"" + "y".repeat(3_000) + "\"") < 4 * 3_000);
    }
}
