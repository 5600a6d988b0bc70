package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.liveness.EndpointIdentity;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.transport.HttpCall;

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
        assertEquals(expected, EndpointHeaders.backoffMillis(Optional.of(text)));
    }

    @ParameterizedTest
    @CsvSource({
        "3000,         3000",
        "0.5,          1",
        "' 20 , 700',  700",
        "0,            ",
        "-1,           ",
        "'',           ",
        "soon,         ",
        "NaN,          ",
        "1e9,          ",
        "9999999999999999999999999, 60000"
    })
    void shouldReadForHowLongEndpointStaysCold(String text, Long millis) {
        OptionalLong expected = millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
        assertEquals(expected, EndpointHeaders.coldMillis(Optional.of(text)));
    }

    @Test
    void shouldTakeEndpointAsWarmWhenItStatesNoColdTime() {
        assertEquals(OptionalLong.empty(), EndpointHeaders.coldMillis(Optional.empty()));
    }

    @ParameterizedTest
    @CsvSource({
        "1,        1",
        "1.9,      1.9",
        "0,        0",
        "' 2 ',    2",
        "'3, 0.5', 0.5",
        "'few, 3', 3",
        "-1,       ",
        "few,      ",
        "'',       ",
        "NaN,      ",
        "1e9,      "
    })
    void shouldReadLimitWhenEndpointNamesOne(String text, Double perSecond) {
        OptionalDouble expected = perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
        assertEquals(expected, EndpointHeaders.limit(HeaderFields.of("Server-Limit", text)));
    }

    @Test
    void shouldReadNoLimitWhenEndpointNamesNone() {
        assertEquals(OptionalDouble.empty(), EndpointHeaders.limit(HeaderFields.empty()));
    }

    @Test
    void shouldReadNoRestWhenEndpointAsksForNone() {
        assertEquals(OptionalLong.empty(), EndpointHeaders.backoffMillis(Optional.empty()));
    }

    // -- identity

    private static final EndpointRegistration ENDPOINT =
            EndpointRegistration.of("i-1", "s", "127.0.0.1:1", "h", 16, false, Map.of(), 1);

    @Test
    void shouldAskForReportWhenServiceHasNoHealthPath() {
        HttpCall query = new EndpointHeaders().encodeIdentityQuery(ENDPOINT, Optional.empty());
        assertEquals(Optional.of("/api/report"), query.rawTarget());
        assertFalse(query.headers().contains("Expect-Instance"));
    }

    @Test
    void shouldAskInNameOfNoEndpointWhenServiceHasHealthPath() {
        HttpCall query = new EndpointHeaders().encodeIdentityQuery(ENDPOINT, Optional.of("/healthz"));
        assertEquals(Optional.of("/healthz"), query.rawTarget());
        assertEquals(Optional.of("not-i-1"), query.headers().first("Expect-Instance"));
    }

    @ParameterizedTest
    @CsvSource({
        "i-1, '{\"born\":1000}',     i-1, 1000",
        ",    '{\"born\":1000}',     ,    1000",
        "i-1, '{\"running\":1}',     i-1, ",
        "i-1, ok,                    i-1, ",
        "i-1, '',                    i-1, ",
        "i-1, '{\"born\":\"1000\"}', i-1, ",
        "i-1, '{\"born\":1e999999}', i-1, ",
        "i-1, '[1',                  i-1, "
    })
    void shouldReadWhatEndpointStatesOfItself(String header, String body, String id, Long startedMillis) {
        HeaderFields headers = header == null ? HeaderFields.empty() : HeaderFields.of("Instance-Id", header);
        EndpointIdentity expected = new EndpointIdentity(
                Optional.ofNullable(id), startedMillis == null ? OptionalLong.empty() : OptionalLong.of(startedMillis));
        assertEquals(expected, new EndpointHeaders().decodeIdentity(headers, body.getBytes(StandardCharsets.UTF_8)));
    }
}
