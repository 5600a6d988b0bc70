package org.micabarrow.transport;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Decides when a starting entry has heard from agents what it does not know itself: which endpoints are draining or
 * have set rate limits. Used by the traffic thread only.
 */
final class FirstReplies {

    /** After this many rounds without a host to query, there is assumed to be none. */
    static final int MAX_ROUNDS_WITHOUT_HOSTS = 3;

    /** Rounds of queries that a silent agent is waited for, so that a lost datagram is sent again once. */
    static final int MAX_ROUNDS_WITH_SILENT_AGENTS = 2;

    private final Set<String> awaited = new HashSet<>();
    private int roundsWithoutHosts;
    private int roundsWithHosts;
    private boolean complete;

    /** Creates an instance that has seen no round of queries. */
    FirstReplies() {}

    /**
     * Records that a round of queries begins.
     *
     * @param hosts the hosts that are queried
     */
    void roundBegins(Collection<String> hosts) {
        Objects.requireNonNull(hosts, "hosts is null");
        if (hosts.isEmpty() && roundsWithHosts == 0) {
            complete = complete || roundsWithoutHosts >= MAX_ROUNDS_WITHOUT_HOSTS;
            roundsWithoutHosts++;
            return;
        }
        if (roundsWithHosts == 0) {
            awaited.addAll(hosts);
        }
        complete = complete || roundsWithHosts >= MAX_ROUNDS_WITH_SILENT_AGENTS;
        roundsWithHosts++;
    }

    /**
     * Records that the reply of an agent has been applied.
     *
     * @param host the agent's host
     */
    void replied(String host) {
        Objects.requireNonNull(host, "host is null");
        awaited.remove(host);
        complete = complete || roundsWithHosts > 0 && awaited.isEmpty();
    }

    /** Whether all agents that were queried first have replied, or have had time to. */
    boolean areComplete() {
        return complete;
    }
}
