package org.micabarrow.headers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.NotEmpty;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.micabarrow.Spellings;

class HeaderFieldsTest {

    @Property(seed = "41")
    void shouldFindFieldWhateverTheCaseOfItsName(
            @ForAll @AlphaChars @NotEmpty @StringLength(max = 20) String name,
            @ForAll long written,
            @ForAll long read) {
        HeaderFields fields = HeaderFields.of(Spellings.of(name, written), "1");
        assertEquals(Optional.of("1"), fields.first(Spellings.of(name, read)));
        assertTrue(fields.contains(Spellings.of(name, read)));
        assertEquals(HeaderFields.empty(), fields.without(List.of(Spellings.of(name, read))));
    }

    @Property(seed = "42")
    void shouldHoldOneFieldAfterReplacementWhateverTheCaseOfItsName(
            @ForAll @AlphaChars @NotEmpty @StringLength(max = 20) String name,
            @ForAll List<Long> spellings,
            @ForAll long last) {
        HeaderFields fields = HeaderFields.of("other-field", "kept");
        for (long spelling : spellings) {
            fields = fields.and(Spellings.of(name, spelling), "before");
        }
        HeaderFields replaced = fields.with(Spellings.of(name, last), "after");
        assertEquals(List.of("after"), replaced.all(name));
        assertEquals(2, replaced.toList().size());
        assertEquals(1, fields.with(name, Optional.empty()).toList().size());
    }

    @Test
    void shouldKeepOrderAndRepeatedFields() {
        HeaderFields fields =
                HeaderFields.of("Set-Cookie", "a=1").and("Accept", "*").and("set-cookie", "b=2");
        assertEquals(List.of("a=1", "b=2"), fields.all("SET-COOKIE"));
        assertEquals(Optional.of("a=1, b=2"), fields.joined("Set-Cookie"));
        assertEquals(
                List.of("Set-Cookie", "Accept", "set-cookie"),
                fields.toList().stream().map(HeaderFields.Field::name).toList());
    }

    @Test
    void shouldMergeNamesThatDifferInCaseWhenMadeFromMap() {
        assertEquals(1, HeaderFields.of(Map.of("a-b", "1", "A-B", "1")).toList().size());
        assertFalse(HeaderFields.of(Map.of()).contains("a-b"));
    }
}
