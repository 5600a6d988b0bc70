package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Agents know entries by the IP numbers that their questions come from. Two entries that are set to listen at names could each take
 * the other for the one that reads the store, since a name comes after every number.
 */
class AddressesTest {

    @ParameterizedTest
    @CsvSource({"localhost:8000, 127.0.0.1:8000", "127.0.0.2:8000, 127.0.0.2:8000"})
    void shouldTellNumberWhenAddressHasNameOrNumber(String address, String numeric) {
        assertEquals(numeric, Addresses.numeric(address));
    }

    @Test
    void shouldKeepNameWhenNobodyKnowsIt() {
        assertEquals("no-such-host.invalid:8000", Addresses.numeric("no-such-host.invalid:8000"));
    }
}
