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
    private final Traffic traffic = new Traffic();
    private final PrefixIndex prefixes = new PrefixIndex(100);
    private final Router router = new Router("norte", "norte-a", traffic, prefixes, new Random(1));
    private final Map<String, PeerView> peers = new HashMap<>();

    @BeforeEach
    void everyReplicaIsReady() {
        placed.replicas().forEach(replica -> peers.put(replica.instance(), peer(replica, true, false, true, 0)));
    }

    private static PeerView peer(Replica replica, boolean reachable, boolean leaving, boolean ready, int inFlight) {
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
                leaving,
                Map.of("assistant", view),
                new PeerView.Load(inFlight, 0, LIMIT, NOW));
    }

    private Router.Decision route(boolean shortRequest, String... tried) {
        return router.route(placed, peers, new Router.Wish(List.of(), shortRequest, Set.of(tried), NOW));
    }

    /** Makes one replica unfit for one reason. */
    private void spoil(Replica replica, Exclusion.Reason reason) {
        switch (reason) {
            case NOT_HEARD -> peers.put(replica.instance(), peer(replica, false, false, true, 0));
            case LEAVING -> peers.put(replica.instance(), peer(replica, true, true, true, 0));
            case NOT_READY -> peers.put(replica.instance(), peer(replica, true, false, false, 0));
            case FULL -> peers.put(replica.instance(), peer(replica, true, false, true, LIMIT));
            case EJECTED -> {
                for (int i = 0; i < 3; i++) {
                    traffic.failed(replica.instance(), NOW);
                }
            }
            default -> {}
        }
    }

    // -- leaving out

    @ParameterizedTest
    @EnumSource(names = {"NOT_HEARD", "LEAVING", "NOT_READY", "FULL", "EJECTED"})
    void shouldLeaveOutReplicaAndSayWhy(Exclusion.Reason reason) {
        Replica unfit = placed.replicas().getFirst();
        spoil(unfit, reason);
        for (int i = 0; i < 20; i++) {
            Router.Decision decision = route(true);
            assertNotEquals(unfit, decision.chosen().orElseThrow());
            assertEquals(List.of(new Exclusion(unfit, reason)), decision.exclusions());
        }
    }

    @Test
    void shouldLeaveOutReplicaThatWasTried() {
        String tried = placed.replicas().getFirst().instance();
        assertNotEquals(tried, route(true, tried).chosen().orElseThrow().instance());
    }

    @Test
    void shouldChooseNobodyOutsidePlacementWhateverItsState() {
        Placement narrowed = new Placement(
                "assistant",
                new Workload.Model("assistant", WEIGHTS, List.of()),
                List.of(),
                List.of("nowhere"),
                List.of("riders"),
                3,
                Placement.RolloutPreference.TIME,
                Placement.CutOffPolicy.SERVE,
                new Placement.Envelope(0, 0));
        ActivePlacement elsewhere = new ActivePlacement(narrowed, "plan", 0, placed.chains(), 0, 0, Optional.empty());
        Router.Decision decision = router.route(elsewhere, peers, new Router.Wish(List.of(), true, Set.of(), NOW));
        assertTrue(decision.chosen().isEmpty());
    }

    @Test
    void shouldUseEjectedReplicasWhenAllAreEjected() {
        placed.replicas().forEach(replica -> spoil(replica, Exclusion.Reason.EJECTED));
        assertTrue(route(true).chosen().isPresent());
    }

    @Test
    void shouldKeepRoomForShortRequests() {
        placed.replicas().forEach(replica -> peers.put(replica.instance(), peer(replica, true, false, true, 8)));
        assertTrue(route(false).chosen().isEmpty());
        assertTrue(route(true).chosen().isPresent());
    }

    // -- choosing

    @Test
    void shouldPreferNearerOfEquals() {
        assertEquals("norte-a", route(true).chosen().orElseThrow().hall());
    }

    @Test
    void shouldPreferIdleFarReplicaToBusyNearOne() {
        Replica near = placed.replicas().stream()
                .filter(replica -> replica.hall().equals("norte-a"))
                .findFirst()
                .orElseThrow();
        peers.put(near.instance(), peer(near, true, false, true, 7));
        assertNotEquals(near, route(true).chosen().orElseThrow());
    }

    @Test
    void shouldPreferReplicaThatHasSeenThePrompt() {
        List<Long> prompt = PrefixIndex.blocks("x".repeat(2000));
        Replica far = placed.replicas().stream()
                .filter(replica -> replica.hall().equals("sur-a"))
                .findFirst()
                .orElseThrow();
        prefixes.seen(prompt, far.instance(), NOW);
        Router.Decision decision = router.route(placed, peers, new Router.Wish(prompt, true, Set.of(), NOW));
        assertEquals(far, decision.chosen().orElseThrow());
    }
}
