package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RequestClassTest {

    @Test
    void shouldRankByOrganisationBeforeRoute() {
        assertTrue(RequestClass.rank(0, 2) < RequestClass.rank(1, 0));
        assertTrue(RequestClass.rank(1, 0) < RequestClass.rank(1, 2));
        assertEquals(RequestClass.rank(9, 9), RequestClass.rank(Integer.MAX_VALUE, 70));
        assertEquals(RequestClass.rank(0, 0), RequestClass.rank(-3, -1));
    }

    @Test
    void shouldLimitPromptsOnlyBehindOthersWhenClassIsLessUrgent() {
        RequestClass batch = new RequestClass(4, Optional.empty(), OptionalLong.of(200));
        assertTrue(batch.delaysNoneMoreUrgent(200, 100));
        assertFalse(batch.delaysNoneMoreUrgent(201, 100));
        assertTrue(batch.delaysNoneMoreUrgent(300, 300), "a long prompt goes where none waits");
        assertTrue(RequestClass.usual().delaysNoneMoreUrgent(10_000, 100));
    }
}
