package org.micabarrow.routing;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * An endpoint as it entered itself in the platform's store.
 *
 * @param id its id, which it keeps when it starts again
 * @param service its service
 * @param address its host and port
 * @param dataHall its data hall
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new requests
 * @param models the weight version it held of each model when it wrote the entry
 * @param layers how many layers it held then; the greatest number if it does not tell
 * @param startedMillis the Unix millisecond of its start; empty if it does not tell
 * @param writes a count that rises with each write of the entry since then; empty if it does not tell
 */
public record EndpointRegistration(
        String id,
        String service,
        String address,
        String dataHall,
        int slots,
        boolean leaving,
        Map<String, Long> models,
        int layers,
        OptionalLong startedMillis,
        OptionalLong writes) {

    /** Copies the models. */
    public EndpointRegistration {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(startedMillis, "startedMillis is null");
        Objects.requireNonNull(writes, "writes is null");
        models = Map.copyOf(models);
    }

    /**
     * An endpoint that tells neither when it was started nor how often it has written its entry.
     *
     * @param id its id
     * @param service its service
     * @param address its host and port
     * @param dataHall its data hall
     * @param slots how many requests it runs at once
     * @param leaving whether it takes no new requests
     * @param models the weight version it held of each model when it wrote the entry
     * @param layers how many layers it held then; the greatest number if it does not tell
     * @return its entry
     */
    public static EndpointRegistration of(
            String id,
            String service,
            String address,
            String dataHall,
            int slots,
            boolean leaving,
            Map<String, Long> models,
            int layers) {
        OptionalLong untold = OptionalLong.empty();
        return new EndpointRegistration(id, service, address, dataHall, slots, leaving, models, layers, untold, untold);
    }

    /**
     * The entry as it would be if the endpoint told its start so.
     *
     * @param millis the Unix millisecond of its start; empty if it does not tell
     * @return an entry that differs by this at most
     */
    public EndpointRegistration withStart(OptionalLong millis) {
        return new EndpointRegistration(id, service, address, dataHall, slots, leaving, models, layers, millis, writes);
    }

    private EndpointRegistration withWrites(OptionalLong count) {
        return new EndpointRegistration(id, service, address, dataHall, slots, leaving, models, layers, startedMillis, count);
    }

    /**
     * Whether an entry says the same as another, however often each was written.
     *
     * @param other the other
     * @return true if they differ by the count of writes at most
     */
    public boolean saysTheSameAs(EndpointRegistration other) {
        return equals(other.withWrites(writes));
    }

    /**
     * The start of the endpoint that the entry is of.
     *
     * @return the start, by which beliefs of the endpoint are kept
     */
    public EndpointStart start() {
        return new EndpointStart(id, startedMillis);
    }

    /**
     * The instance that it runs on.
     *
     * @return the host part of its address
     */
    public String instanceHost() {
        return address.substring(0, address.lastIndexOf(':'));
    }
}
