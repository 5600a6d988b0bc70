package org.micabarrow.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.Samples.WEIGHTS;
import static org.micabarrow.Samples.assistantOn;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Placement;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Workload;

class RouterTest {

    private static final long NOW = 1_000_000;
    private static final int LIMIT = 10;

    private final ActivePlacement placed =
            assistantOn(3).activePlacement("assistant").orElseThrow();
    private final InstanceStats stats = new InstanceStats();
    private final PrefixIndex prefixes = new PrefixIndex(100);
    private final Router router = new Router("norte", "norte-a", stats, prefixes, new Random(1));
    private final Map<String, PeerView> peers = new HashMap<>();

    @BeforeEach
    void setUpReadyReplicas() {
        placed.replicas().forEach(replica -> peers.put(replica.instance(), peer(replica, true, false, true, 0)));
    }

    private static PeerView peer(Replica replica, boolean reachable, boolean draining, boolean ready, int inFlight) {
        ReplicaView view = new ReplicaView(
                "assistant",
                WEIGHTS.digest(),
                ready ? ReplicaView.State.READY : ReplicaView.State.RECEIVING,
                5,
                10,
                ready ? Optional.of(WEIGHTS.digest()) : Optional.empty(),
                Optional.empty());
        return new PeerView(
                replica.instance(),
                "1",
                1,
                "",
                reachable,
                draining,
                Map.of("assistant", view),
                new PeerView.Load(inFlight, 0, LIMIT, NOW));
    }

    private Router.Decision route(boolean shortRequest, String... tried) {
        return router.route(placed, peers, new Router.Criteria(List.of(), shortRequest, Set.of(tried), NOW));
    }

    /** Makes a replica ineligible for the given reason. */
    private void makeIneligible(Replica replica, Exclusion.Reason reason) {
        switch (reason) {
            case NOT_HEARD -> peers.put(replica.instance(), peer(replica, false, false, true, 0));
            case LEAVING -> peers.put(replica.instance(), peer(replica, true, true, true, 0));
            case NOT_READY -> peers.put(replica.instance(), peer(replica, true, false, false, 0));
            case FULL -> peers.put(replica.instance(), peer(replica, true, false, true, LIMIT));
            case EJECTED -> {
                for (int i = 0; i < 3; i++) {
                    stats.requestFailed(replica.instance(), NOW);
                }
            }
            default -> {}
        }
    }

    // -- exclusion

    @ParameterizedTest
    @EnumSource(names = {"NOT_HEARD", "LEAVING", "NOT_READY", "FULL", "EJECTED"})
    void shouldExcludeReplicaWithReason(Exclusion.Reason reason) {
        Replica ineligible = placed.replicas().getFirst();
        makeIneligible(ineligible, reason);
        for (int i = 0; i < 20; i++) {
            Router.Decision decision = route(true);
            assertNotEquals(ineligible, decision.chosen().orElseThrow());
            assertEquals(List.of(new Exclusion(ineligible, reason)), decision.exclusions());
        }
    }

    @Test
    void shouldExcludeReplicaWhenItWasTried() {
        String tried = placed.replicas().getFirst().instance();
        assertNotEquals(tried, route(true, tried).chosen().orElseThrow().instance());
    }

    @Test
    void shouldSelectNoReplicaWhenAllAreOutsidePlacement() {
        Placement restricted = new Placement(
                "assistant",
                new Workload.Model("assistant", WEIGHTS, List.of()),
                List.of(),
                List.of("nowhere"),
                List.of("riders"),
                3,
                Placement.RolloutPreference.TIME,
                Placement.CutOffPolicy.SERVE,
                new Placement.Envelope(0, 0));
        ActivePlacement placedElsewhere =
                new ActivePlacement(restricted, "plan", 0, placed.chains(), 0, 0, Optional.empty());
        Router.Decision decision =
                router.route(placedElsewhere, peers, new Router.Criteria(List.of(), true, Set.of(), NOW));
        assertTrue(decision.chosen().isEmpty());
    }

    @Test
    void shouldUseEjectedReplicasWhenAllAreEjected() {
        placed.replicas().forEach(replica -> makeIneligible(replica, Exclusion.Reason.EJECTED));
        assertTrue(route(true).chosen().isPresent());
    }

    @Test
    void shouldRejectLongRequestsWhenOnlyReservedSlotsAreFree() {
        placed.replicas().forEach(replica -> peers.put(replica.instance(), peer(replica, true, false, true, 8)));
        assertTrue(route(false).chosen().isEmpty());
        assertTrue(route(true).chosen().isPresent());
    }

    // -- selection

    @Test
    void shouldPreferNearerReplicaWhenLoadsAreEqual() {
        assertEquals("norte-a", route(true).chosen().orElseThrow().hall());
    }

    @Test
    void shouldPreferDistantReplicaWhenNearOneIsBusy() {
        Replica near = placed.replicas().stream()
                .filter(replica -> replica.hall().equals("norte-a"))
                .findFirst()
                .orElseThrow();
        peers.put(near.instance(), peer(near, true, false, true, 7));
        assertNotEquals(near, route(true).chosen().orElseThrow());
    }

    @Test
    void shouldPreferReplicaWhenItHasCachedThePrompt() {
        List<Long> prompt = PrefixIndex.blocks("x".repeat(2000));
        Replica distant = placed.replicas().stream()
                .filter(replica -> replica.hall().equals("sur-a"))
                .findFirst()
                .orElseThrow();
        prefixes.recordCached(prompt, distant.instance(), NOW);
        Router.Decision decision = router.route(placed, peers, new Router.Criteria(prompt, true, Set.of(), NOW));
        assertEquals(distant, decision.chosen().orElseThrow());
    }
}
