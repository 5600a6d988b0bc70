package org.micabarrow.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Replica;

/** All agents are asked in turn, at a bounded rate. */
class StatusRotationTest {

    @Test
    void shouldAskEveryAgentInTurnButNeverMoreThanSoManyASecond() {
        StatusRotation rotation = new StatusRotation(1000);
        List<Replica> many = new ArrayList<>();
        for (int i = 0; i < 420; i++) {
            many.add(new Replica("i" + i, "r", "h", "a" + i));
        }
        Set<Replica> asked = new HashSet<>();
        for (int tick = 0; tick < 9; tick++) {
            List<Replica> due = rotation.due(many, 1000 * tick + 1);
            assertTrue(due.size() <= StatusRotation.MAX_PER_SECOND);
            asked.addAll(due);
        }
        assertEquals(420, asked.size());
        assertEquals(8400, rotation.rotationMillis(420));
        assertEquals(10, new StatusRotation(1000).due(many.subList(0, 10), 1).size());
    }
}
