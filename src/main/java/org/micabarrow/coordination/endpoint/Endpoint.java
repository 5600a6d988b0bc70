package org.micabarrow.coordination.endpoint;

import java.util.List;
import java.util.Objects;
import org.micabarrow.state.Result;

/** The endpoint beside an agent: a model engine or a plain service. */
public interface Endpoint {

    /**
     * Asks what is loaded and how busy the endpoint is.
     *
     * @return its report, which may lag
     */
    Result<Report> report();

    /**
     * Hands over one verified chunk.
     *
     * @param artifact the artifact's digest
     * @param index the chunk's place
     * @param data its bytes
     * @return the number of chunks that the endpoint holds now
     */
    Result<Integer> stage(String artifact, int index, byte[] data);

    /**
     * Gives a fenced order.
     *
     * @param order the order
     * @return true, or why it was refused
     */
    Result<Boolean> order(Order order);

    /**
     * What an endpoint tells of itself.
     *
     * @param loaded the versions that it can answer with
     * @param inFlight requests that run
     * @param queued requests that wait
     * @param slots requests that can run at once
     */
    record Report(List<String> loaded, int inFlight, int queued, int slots) {

        /** Copies the list. */
        public Report {
            loaded = List.copyOf(loaded);
        }
    }

    /**
     * An order to load or drop a version.
     *
     * @param fence tells an old sender from a new one
     * @param action what to do
     * @param version the version
     * @param artifacts the staged artifacts that make it up
     */
    record Order(Fence fence, Action action, String version, List<String> artifacts) {

        /** Copies the list. */
        public Order {
            Objects.requireNonNull(fence, "fence is null");
            Objects.requireNonNull(action, "action is null");
            artifacts = List.copyOf(artifacts);
        }
    }

    /** What an order asks for. */
    enum Action {
        LOAD,
        UNLOAD
    }

    /**
     * Orders with a lower fence than one already taken are refused. A newer process of the agent comes before a newer
     * configuration.
     *
     * @param epoch the start of the agent's process
     * @param generation the offset of the configuration that it acts on
     */
    record Fence(long epoch, long generation) implements Comparable<Fence> {

        @Override
        public int compareTo(Fence other) {
            int byEpoch = Long.compare(epoch, other.epoch);
            return byEpoch != 0 ? byEpoch : Long.compare(generation, other.generation);
        }
    }
}
