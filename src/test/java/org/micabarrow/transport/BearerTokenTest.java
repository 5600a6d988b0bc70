package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BearerTokenTest {

    @ParameterizedTest
    @CsvSource({
        "Bearer t1,     t1",
        "bearer t1,     t1",
        "BEARER   T1,   T1",
        "Basic t1,      ",
        "Bearert1,      ",
        "'',            "
    })
    void shouldReadTokenWhateverTheCaseOfItsScheme(String value, String token) {
        HeaderMap headers = new HeaderMap().put(Headers.AUTHORIZATION, value);
        assertEquals(Optional.ofNullable(token), BearerToken.of(headers));
    }

    @Test
    void shouldReadNoTokenWhenThereIsNoAuthorization() {
        assertEquals(Optional.empty(), BearerToken.of(new HeaderMap()));
    }
}
