package org.micabarrow.coordination.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClaimBookTest {

    private final ClaimBook book = new ClaimBook(1000);

    private static Claim claim(String attempt, String after) {
        return new Claim("k", "body", "norte-a-1", "7", 0, attempt, Optional.ofNullable(after));
    }

    @Test
    void shouldGiveKeyToFirstClaim() {
        assertTrue(book.fold(0, claim("a", null)));
        assertFalse(book.fold(1, claim("b", null)));
        assertEquals("a", book.holder("k").orElseThrow().attempt());
    }

    @Test
    void shouldCountSameClaimOnceWhenItIsWrittenTwice() {
        assertTrue(book.fold(0, claim("a", null)));
        assertTrue(book.fold(1, claim("a", null)));
        assertEquals(1, book.size());
    }

    @Test
    void shouldPassKeyOnOnlyAfterTheClaimThatHoldsIt() {
        book.fold(0, claim("a", null));
        assertTrue(book.fold(1, claim("b", "a")));
        assertFalse(book.fold(2, claim("c", "a")));
        assertEquals("b", book.holder("k").orElseThrow().attempt());
    }

    @Test
    void shouldLetClaimGoByTheLogsTimeOnly() {
        book.fold(0, claim("a", null));
        assertFalse(book.fold(999, claim("b", null)));
        assertTrue(book.fold(1001, claim("c", null)));
    }
}
