package org.micabarrow.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.micabarrow.Samples;
import org.micabarrow.state.Instance;

/** A few processes of each data hall read the log for the others. */
class HallRelaysTest {

    @Test
    void shouldLetTwoOfEachHallReadTheLogAndTheOthersReadFromThem() {
        List<Instance> instances = Samples.instances(10);
        Set<String> readers = instances.stream()
                .filter(one -> HallRelays.of(one.id(), one.hall(), instances).isEmpty())
                .map(Instance::id)
                .collect(Collectors.toSet());
        assertEquals(6, readers.size());
        Instance other = instances.stream()
                .filter(one -> !readers.contains(one.id()))
                .findFirst()
                .orElseThrow();
        assertEquals(2, HallRelays.of(other.id(), other.hall(), instances).size());
    }

    @Test
    void shouldReadTheLogItselfWhenNothingIsListed() {
        assertTrue(HallRelays.of("a", "hall", List.of()).isEmpty());
    }
}
