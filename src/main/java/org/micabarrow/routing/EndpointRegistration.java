package org.micabarrow.routing;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * An endpoint as it registered itself in the platform's store.
 *
 * @param id its id, which is the same after a restart
 * @param service its service
 * @param address its host and port
 * @param dataHall its data hall
 * @param slots the number of requests it runs concurrently
 * @param draining whether it accepts no new requests
 * @param models the weight version of each model that it held when it wrote the registration
 * @param layers the number of layers it held then; the greatest number if it does not report them
 * @param startedMillis the Unix time of its start in milliseconds; empty if it does not report it
 * @param writeCount a count that rises with each write of the registration since the start; empty if it does not report
 *     it
 * @param coldLeftMillis how long it stayed cold when it wrote the registration, in milliseconds; 0 if it was warm
 */
public record EndpointRegistration(
        String id,
        String service,
        String address,
        String dataHall,
        int slots,
        boolean draining,
        Map<String, Long> models,
        int layers,
        OptionalLong startedMillis,
        OptionalLong writeCount,
        long coldLeftMillis) {

    /** Copies the models. */
    public EndpointRegistration {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(startedMillis, "startedMillis is null");
        Objects.requireNonNull(writeCount, "writeCount is null");
        models = Map.copyOf(models);
    }

    /**
     * Creates the registration of a warm endpoint.
     *
     * @param id its id, which is the same after a restart
     * @param service its service
     * @param address its host and port
     * @param dataHall its data hall
     * @param slots the number of requests it runs concurrently
     * @param draining whether it accepts no new requests
     * @param models the weight version of each model that it held when it wrote the registration
     * @param layers the number of layers it held then; the greatest number if it does not report them
     * @param startedMillis the Unix time of its start in milliseconds; empty if it does not report it
     * @param writeCount a count that rises with each write of the registration since the start; empty if it does not
     *     report it
     */
    public EndpointRegistration(
            String id,
            String service,
            String address,
            String dataHall,
            int slots,
            boolean draining,
            Map<String, Long> models,
            int layers,
            OptionalLong startedMillis,
            OptionalLong writeCount) {
        this(id, service, address, dataHall, slots, draining, models, layers, startedMillis, writeCount, 0);
    }

    /**
     * Creates the registration of an endpoint that reports neither its start time nor its write count.
     *
     * @param id its id
     * @param service its service
     * @param address its host and port
     * @param dataHall its data hall
     * @param slots the number of requests it runs concurrently
     * @param draining whether it accepts no new requests
     * @param models the weight version of each model that it held when it wrote the registration
     * @param layers the number of layers it held then; the greatest number if it does not report them
     * @return its registration
     */
    public static EndpointRegistration of(
            String id,
            String service,
            String address,
            String dataHall,
            int slots,
            boolean draining,
            Map<String, Long> models,
            int layers) {
        OptionalLong unknown = OptionalLong.empty();
        return new EndpointRegistration(
                id, service, address, dataHall, slots, draining, models, layers, unknown, unknown, 0);
    }

    /**
     * Returns a copy of this registration with another start time.
     *
     * @param millis the Unix time of the endpoint's start in milliseconds; empty if it does not report it
     * @return the copy
     */
    public EndpointRegistration withStart(OptionalLong millis) {
        return new EndpointRegistration(
                id, service, address, dataHall, slots, draining, models, layers, millis, writeCount, coldLeftMillis);
    }

    private EndpointRegistration with(OptionalLong count, long coldMillis) {
        return new EndpointRegistration(
                id, service, address, dataHall, slots, draining, models, layers, startedMillis, count, coldMillis);
    }

    /**
     * Returns whether another registration has the same content, regardless of what differs with each write: the write
     * counts and the cold times.
     *
     * @param other the other registration
     * @return true if they differ by these at most
     */
    public boolean sameContentAs(EndpointRegistration other) {
        return equals(other.with(writeCount, coldLeftMillis));
    }

    /**
     * Returns the start of the endpoint that this registration belongs to.
     *
     * @return the start, the key for everything known about the endpoint
     */
    public EndpointStart start() {
        return new EndpointStart(id, startedMillis);
    }

    /**
     * Returns the host of the instance on which the endpoint runs.
     *
     * @return the host part of its address
     */
    public String instanceHost() {
        return address.substring(0, address.lastIndexOf(':'));
    }
}
