package org.micabarrow.coordination.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClaimTableTest {

    private final ClaimTable table = new ClaimTable(1000);

    private static Claim claim(String attempt, String after) {
        return new Claim("k", "body", "norte-a-1", "7", 0, attempt, Optional.ofNullable(after));
    }

    @Test
    void shouldGiveKeyToFirstClaim() {
        assertTrue(table.apply(0, claim("a", null)));
        assertFalse(table.apply(1, claim("b", null)));
        assertEquals("a", table.holder("k").orElseThrow().attempt());
    }

    @Test
    void shouldCountClaimOnceWhenItIsWrittenTwice() {
        assertTrue(table.apply(0, claim("a", null)));
        assertTrue(table.apply(1, claim("a", null)));
        assertEquals(1, table.size());
    }

    @Test
    void shouldTransferKeyOnlyWhenClaimNamesHolder() {
        table.apply(0, claim("a", null));
        assertTrue(table.apply(1, claim("b", "a")));
        assertFalse(table.apply(2, claim("c", "a")));
        assertEquals("b", table.holder("k").orElseThrow().attempt());
    }

    @Test
    void shouldExpireClaimByLogTime() {
        table.apply(0, claim("a", null));
        assertFalse(table.apply(999, claim("b", null)));
        assertTrue(table.apply(1001, claim("c", null)));
    }
}
