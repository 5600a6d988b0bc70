package org.micabarrow.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Replica;

/** Each entry draws its own agents, evenly over the data halls. */
class SubsetTest {

    @Test
    void shouldDrawSubsetEvenlyOverHallsAndDifferentlyForEntries() {
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            String hall = "hall-" + i % 3;
            replicas.add(new Replica("i" + i, "r", hall, "a" + i));
        }
        Set<Replica> all = new HashSet<>();
        for (int entry = 0; entry < 20; entry++) {
            List<Replica> subset = Subset.of("entry-" + entry, replicas, 12);
            all.addAll(subset);
            Map<String, Long> perHall =
                    subset.stream().collect(Collectors.groupingBy(Replica::hall, Collectors.counting()));
            assertEquals(Map.of("hall-0", 4L, "hall-1", 4L, "hall-2", 4L), perHall);
        }
        assertTrue(all.size() > 80, "drawn by somebody: " + all.size());
    }
}
