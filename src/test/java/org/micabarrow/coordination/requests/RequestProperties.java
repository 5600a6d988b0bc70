package org.micabarrow.coordination.requests;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Requests that may not be repeated, through two entries and three agents, in any interleaving of lost and late
 * messages, killed agents, paused entries and outages of the log. The oracle counts runs at the endpoints.
 */
class RequestProperties {

    @Provide
    Arbitrary<List<Integer>> steps() {
        return Arbitraries.integers().between(0, 999).list().ofMinSize(5).ofMaxSize(80);
    }

    @Property(tries = 1500, seed = "20261202")
    void shouldRunEachKeyAtMostOnceAndNeverWhenItSaysNotRun(@ForAll("steps") List<Integer> steps) {
        RequestWorld world = new RequestWorld(steps.hashCode());
        steps.forEach(world::step);
        world.finish();
        world.check();
    }
}
