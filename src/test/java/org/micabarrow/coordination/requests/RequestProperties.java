package org.micabarrow.coordination.requests;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Property test for requests that must not be repeated: two entries and three agents, with arbitrary interleavings of
 * lost and late messages, killed agents, paused entries and log outages. The oracle counts the runs at the endpoints.
 */
class RequestProperties {

    @Provide
    Arbitrary<List<Integer>> steps() {
        return Arbitraries.integers().between(0, 999).list().ofMinSize(5).ofMaxSize(80);
    }

    @Property(tries = 1500, seed = "20261202")
    void shouldRunEachKeyAtMostOnceAndNeverWhenOutcomeIsNotRun(@ForAll("steps") List<Integer> steps) {
        RequestSimulation simulation = new RequestSimulation(steps.hashCode());
        steps.forEach(simulation::step);
        simulation.finish();
        simulation.check();
    }
}
