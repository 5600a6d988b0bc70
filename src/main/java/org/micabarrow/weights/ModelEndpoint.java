package org.micabarrow.weights;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.state.Result;

/** The weight operations of the endpoint beside an agent. */
public interface ModelEndpoint {

    /**
     * The state that the endpoint reports.
     *
     * @param models the weight version of each model of which it holds all layers
     * @param partialModels the weight version of each model of which it holds only some layers
     * @param busy whether it is loading weights
     * @param orderCount the number of orders that it has accepted since its start
     * @param condition its running and waiting requests, speed and memory
     * @param startedMillis its start time as a Unix timestamp in milliseconds; empty if not reported
     * @param draining whether it reports that it is draining
     * @param rateLimit the requests per second that it accepts from all entries together; empty if not reported
     */
    record Report(
            Map<String, Long> models,
            Map<String, Long> partialModels,
            boolean busy,
            long orderCount,
            EndpointCondition condition,
            OptionalLong startedMillis,
            boolean draining,
            OptionalDouble rateLimit) {

        /**
         * Creates a report of an endpoint that is not draining and reports neither a start time nor a rate limit.
         *
         * @param models the weight version of each model of which it holds all layers
         * @param partialModels the weight version of each model of which it holds only some layers
         * @param busy whether it is loading weights
         * @param orderCount the number of orders that it has accepted since its start
         * @param queued the number of waiting requests
         * @param running the number of running requests
         */
        public Report(
                Map<String, Long> models,
                Map<String, Long> partialModels,
                boolean busy,
                long orderCount,
                int queued,
                int running) {
            this(
                    models,
                    partialModels,
                    busy,
                    orderCount,
                    new EndpointCondition(
                            running, queued, OptionalDouble.empty(), OptionalLong.empty(), OptionalLong.empty()),
                    OptionalLong.empty(),
                    false,
                    OptionalDouble.empty());
        }

        /**
         * Returns the number of requests at the endpoint, its queue included.
         *
         * @return the running and the waiting requests
         */
        public int requests() {
            return condition.running() + condition.queued();
        }
    }

    /** The outcome of an order. */
    enum OrderOutcome {
        /** The endpoint has started to load. */
        BEGUN,
        /** The endpoint already holds the version. */
        HELD,
        /** The order does not match the endpoint's state. */
        CONFLICT,
        /** The order was not sent, since it was no longer due. */
        WITHHELD
    }

    /**
     * Requests the endpoint's report.
     *
     * @return the report
     */
    Result<Report> report();

    /**
     * Stages a chunk from which the endpoint can load weights.
     *
     * @param model the model
     * @param index the chunk's index
     * @param bytes its content
     * @return true if the chunk is staged
     */
    Result<Boolean> stage(String model, int index, byte[] bytes);

    /**
     * Reads a staged chunk back.
     *
     * @param model the model
     * @param index the chunk's index
     * @return its content, empty if the chunk is not staged
     */
    Result<Optional<byte[]>> readStaged(String model, int index);

    /**
     * Orders the endpoint to load the staged version.
     *
     * @param model the model
     * @param version the weight version
     * @param expectedOrders the number of orders in the last report; the endpoint refuses if it has accepted more since
     * @param stillDue whether the order is to be sent, checked just before it is; must not block
     * @return the outcome
     */
    Result<OrderOutcome> load(String model, long version, long expectedOrders, BooleanSupplier stillDue);

    /**
     * Orders the endpoint to load a single layer, after which it serves no other version any more.
     *
     * @param model the model
     * @param version the weight version
     * @param layer the index of the layer, from 0
     * @param expectedOrders the number of orders in the last report; the endpoint refuses if it has accepted more since
     * @return the outcome
     */
    Result<OrderOutcome> loadLayer(String model, long version, int layer, long expectedOrders);
}
