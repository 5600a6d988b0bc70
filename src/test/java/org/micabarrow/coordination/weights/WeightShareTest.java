package org.micabarrow.coordination.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Weights give way to live requests on the link. */
class WeightShareTest {

    @Test
    void shouldGiveWayToLiveRequestsAndComeBack() {
        WeightShare share = new WeightShare();
        for (int i = 0; i < 100; i++) {
            share.began(20);
        }
        for (int i = 0; i < 30; i++) {
            share.began(100);
        }
        double given = share.share();
        assertTrue(given < 0.5, "share: " + given);
        for (int i = 0; i < 300; i++) {
            share.began(20);
        }
        assertEquals(1, share.share(), 0.01);
    }
}
