package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointHeadersTest {

    @ParameterizedTest
    @CsvSource({
        "3,                              3000",
        "0.25,                           250",
        " 2 ,                            2000",
        "7.,                             7000",
        "600,                            600000",
        "0,                              ",
        "0.0001,                         ",
        "-3,                             ",
        "'',                             ",
        "soon,                           ",
        "NaN,                            ",
        "Infinity,                       ",
        "1e9,                            ",
        "0x10,                           ",
        "'Thu, 03 Dec 2026 07:00:00 GMT', ",
        "99999999999999999999999999,     86400000",
        "'1, 3',                         3000",
        "'3, 1',                         3000",
        "'soon, 2',                      2000",
        "'-1, 0',                        "
    })
    void shouldReadForHowLongEndpointRests(String text, Long millis) {
        OptionalLong expected = millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
        assertEquals(expected, EndpointHeaders.restMillis(text));
    }

    @Test
    void shouldReadNoRestWhenEndpointAsksForNone() {
        assertEquals(OptionalLong.empty(), EndpointHeaders.restMillis(null));
    }
}
