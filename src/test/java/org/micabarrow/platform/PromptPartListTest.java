package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromptPartListTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "all but the last            | 5c1e07a2:800,91bd3f06:410,e4402b7d:250 | 5c1e07a2 91bd3f06",
                "one part                    | 5c1e07a2:800                           | ''",
                "none                        | ''                                     | ''",
                "a part twice                | aa:1,aa:1,bb:2                         | aa",
                "blanks and capitals         | ' AA:1 , bB:2,cc:3'                    | aa bb",
                "no tokens                   | aa,bb:1,cc:2                           | ''",
                "no hexadecimal id           | xy:1,bb:1,cc:2                         | ''",
                "an id that is too long      | 0123456789abcdef0123456789abcdef0:1,b:1| ''",
                "an empty part               | aa:1,,cc:2                             | ''",
                "a malformed last part       | aa:1,bb:1,cc                           | ''"
            })
    void shouldReadPartsThatOtherPromptsMayShare(String description, String list, String shared) {
        Set<String> expected = shared.isEmpty() ? Set.of() : Set.of(shared.split(" "));
        assertEquals(expected, PromptPartList.shared(List.of(list)), description);
    }

    @Test
    void shouldReadSeveralHeadersAsOneListAndNoneAsNoParts() {
        assertEquals(Set.of("aa", "bb"), PromptPartList.shared(List.of("aa:1", "bb:2,cc:3")));
        assertEquals(Set.of(), PromptPartList.shared(List.of()));
    }

    @Test
    void shouldLimitPartsWhenListIsLong() {
        String list = IntStream.range(0, 500).mapToObj(i -> i + ":1").collect(Collectors.joining(","));
        assertEquals(64, PromptPartList.shared(List.of(list)).size());
    }
}
