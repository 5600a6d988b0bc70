package org.micabarrow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which lines of the list of known failures count as tests. */
class KnownRedTest {

    private static final List<String> THREE = List.of("ATest.a: x", "BTest.b: y", "CTest.c: z");

    @Test
    void shouldCountTestsAlone() {
        List<String> lines = List.of("ATest.a: x", "", "BTest.b: y", "review/: cases", "CTest.c: z", "hunt/: a day");
        assertEquals(THREE, KnownRed.tests(lines));
    }

    @Test
    void shouldRefuseFourTests() {
        List<String> four = List.of("ATest.a: x", "BTest.b: y", "CTest.c: z", "DTest.d: review/");
        assertThrows(IllegalStateException.class, () -> KnownRed.tests(four));
    }

    @Test
    void shouldCountSeedsApart() {
        List<String> lines = List.of("ATest.a: x", "BTest.b: y", "CTest.c: z", "DTest.d[1]: x", "DTest.d[2]: y");
        assertEquals(lines, KnownRed.tests(lines));
        List<String> four = List.of("ATest.a[1]: x", "ATest.a[2]: x", "ATest.a[3]: x", "ATest.a[4]: x");
        assertThrows(IllegalStateException.class, () -> KnownRed.tests(four));
    }

    @ParameterizedTest
    @CsvSource({
        "'ATest.a: x',        ATest.a,  'a(long)',    true",
        "'ATest.a: x',        ATest.a,  '[1] 40001',  true",
        "'ATest.a: x',        ATest.ab, 'ab(long)',   false",
        "'ATest.a[40001]: x', ATest.a,  '[2] 40001',  true",
        "'ATest.a[40001]: x', ATest.a,  '[2] seed = 40001', true",
        "'ATest.a[40001]: x', ATest.a,  '[1] 40000',  false",
        "'ATest.a[40001]: x', ATest.a,  '[1] 140001', false",
        "'ATest.a[40001]: x', ATest.a,  'a(long)',    false",
        "'ATest.a[40001]: x', ATest.b,  '[2] 40001',  false"
    })
    void shouldPassOverListedTestOrItsListedSeedAlone(String line, String test, String displayName, boolean expected) {
        assertEquals(expected, KnownRed.passesOver(line, test, displayName));
    }
}
