package org.micabarrow.routing;

import java.util.Map;
import java.util.Objects;

/**
 * An endpoint as it entered itself in the platform's store.
 *
 * @param id the id of this start of the endpoint; a restarted endpoint has another
 * @param service its service
 * @param address its host and port
 * @param dataHall its data hall
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new requests
 * @param models the weight version it held of each model when it wrote the entry
 * @param layers how many layers it held then; the greatest number if it does not tell
 */
public record EndpointEntry(
        String id,
        String service,
        String address,
        String dataHall,
        int slots,
        boolean leaving,
        Map<String, Long> models,
        int layers) {

    /** Copies the models. */
    public EndpointEntry {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        models = Map.copyOf(models);
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
