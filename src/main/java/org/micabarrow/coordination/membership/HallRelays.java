package org.micabarrow.coordination.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Instance;

/**
 * Which processes of a data hall read the platform's log, and from whom the others read. It follows from the platform's
 * list, so nobody assigns it; where two views of the list differ, somebody reads the log once too often, which is
 * harmless.
 */
public final class HallRelays {

    /** How many processes of each hall read the log. */
    public static final int READERS = 2;

    private HallRelays() {}

    /**
     * The processes from which an instance reads records.
     *
     * @param instance the instance
     * @param hall its hall
     * @param instances the instances listed
     * @return addresses to ask in order, empty if the instance reads the log itself
     */
    public static List<String> of(String instance, String hall, List<Instance> instances) {
        Objects.requireNonNull(instance, "instance is null");
        List<Instance> readers = instances.stream()
                .filter(one -> one.hall().equals(hall) && !one.leaving())
                .sorted(Comparator.comparingLong(one -> Digest.rank(hall, one.id())))
                .limit(READERS)
                .toList();
        boolean reads = readers.stream().anyMatch(one -> one.id().equals(instance));
        return reads ? List.of() : readers.stream().map(Instance::address).toList();
    }
}
