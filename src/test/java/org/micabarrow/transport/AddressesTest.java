package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Agents identify entries by the IP addresses that their queries come from. Two entries that are configured to listen
 * at host names could each take the other for the one that reads the store, since a name sorts after every IP address.
 */
class AddressesTest {

    @ParameterizedTest
    @CsvSource({"localhost:8000, 127.0.0.1:8000", "127.0.0.2:8000, 127.0.0.2:8000"})
    void shouldReturnIpAddressWhenHostIsNameOrIpAddress(String address, String numeric) {
        assertEquals(numeric, Addresses.numeric(address));
    }

    @Test
    void shouldKeepNameWhenItCannotBeResolved() {
        assertEquals("no-such-host.invalid:8000", Addresses.numeric("no-such-host.invalid:8000"));
    }
}
