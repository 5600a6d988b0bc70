package org.micabarrow.transport;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.micabarrow.state.Digest;

/**
 * Decides which agents an entry queries for their load, and in which rounds. What an entry sends and receives is bounded
 * however many agents there are, so that the queries of all entries do not grow with the product of entries and agents:
 * beyond the bound each entry queries a subset of its own. Not thread-safe.
 */
final class QuerySchedule {

    /**
     * The maximum number of hosts that are queried, besides those where requests are in flight: an entry has some tens
     * of requests in flight, and the hosts have room for several hundred.
     */
    static final int MAX_HOSTS = 96;

    /** How many of them may be in the entry's own region if there are as many elsewhere; others are the reserve. */
    static final int MAX_OWN_REGION_HOSTS = 64;

    /** Hosts of other regions are queried once in this many rounds, since traffic between regions is paid for. */
    static final int OTHER_REGION_ROUNDS = 3;

    private final String entry;
    private final Map<String, Long> ranks = new HashMap<>();
    private final Map<String, Integer> nextRounds = new HashMap<>();
    private Set<String> chosen = Set.of();

    /**
     * A host with an agent.
     *
     * @param address its IP address
     * @param sameRegion whether it is in the entry's region
     */
    record Host(String address, boolean sameRegion) {

        /** Checks the address. */
        Host {
            Objects.requireNonNull(address, "address is null");
        }
    }

    /**
     * Creates a schedule that knows no hosts.
     *
     * @param entry the entry's name; each entry chooses another subset
     */
    QuerySchedule(String entry) {
        this.entry = Objects.requireNonNull(entry, "entry is null");
    }

    // -- which hosts

    /**
     * Sets the hosts that can be queried. A subset changes little when hosts come and go.
     *
     * @param hosts all hosts
     */
    void update(Collection<Host> hosts) {
        Set<String> known = new HashSet<>();
        hosts.forEach(host -> known.add(host.address()));
        ranks.keySet().retainAll(known);
        nextRounds.keySet().retainAll(known);
        List<Host> own = hosts.stream().filter(Host::sameRegion).toList();
        List<Host> others = hosts.stream().filter(host -> !host.sameRegion()).toList();
        int maxOwn = Math.max(MAX_OWN_REGION_HOSTS, MAX_HOSTS - others.size());
        int maxOthers = MAX_HOSTS - Math.min(own.size(), maxOwn);
        chosen = Stream.concat(first(own, maxOwn), first(others, maxOthers))
                .map(Host::address)
                .collect(Collectors.toUnmodifiableSet());
    }

    private Stream<Host> first(List<Host> hosts, int max) {
        return hosts.size() <= max
                ? hosts.stream()
                : hosts.stream().sorted(Comparator.comparingLong(this::rank)).limit(max);
    }

    private long rank(Host host) {
        return ranks.computeIfAbsent(host.address(), address -> Digest.rank(entry, address));
    }

    /**
     * Whether a host is queried regularly, whether or not requests are in flight there.
     *
     * @param address the host
     * @return false for hosts beyond the bound
     */
    boolean isChosen(String address) {
        return chosen.contains(address);
    }

    // -- which rounds

    /**
     * The hosts to query in a round. A host is queried in the first round in which it is known. Those of other regions
     * are spread over the rounds.
     *
     * @param hosts all hosts, as last passed to {@link #update}
     * @param inUse whether requests of this entry are in flight at a host; these are always queried, since an endpoint
     *     that is not queried would seem unresponsive
     * @param round the number of the round, one more than that of the previous one
     * @return the hosts
     */
    List<Host> due(Collection<Host> hosts, Predicate<String> inUse, int round) {
        return hosts.stream()
                .filter(host -> isChosen(host.address()) || inUse.test(host.address()))
                .filter(host -> host.sameRegion() || isDue(host.address(), round))
                .toList();
    }

    private boolean isDue(String address, int round) {
        Integer next = nextRounds.get(address);
        if (next != null && round < next) {
            return false;
        }
        // The second query of a host comes one to three rounds after its first, so that hosts do not stay in step.
        int pause = next == null ? 1 + Math.floorMod(address.hashCode(), OTHER_REGION_ROUNDS) : OTHER_REGION_ROUNDS;
        nextRounds.put(address, round + pause);
        return true;
    }
}
