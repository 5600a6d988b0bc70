package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.micabarrow.Await;
import org.micabarrow.bench.LocalOptions;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.standin.EngineStandin;
import org.micabarrow.standin.Faults;
import org.micabarrow.state.Digest;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Deaths, outages and lost answers on real sockets, step by step on one system. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class RecoveryTest {

    private static final Faults LOG_DOWN = new Faults(true, 0, false, false, 0, 0, false);
    private static final Faults ANSWERS_LOST = new Faults(false, 0, true, false, 0, 0, false);
    private static final String BOTH_HALLS = "\"norte-a\",\"sur-a\"";

    private static SystemFixture fixture;

    @BeforeAll
    static void start() throws IOException {
        LocalOptions quick = LocalOptions.quick();
        fixture = new SystemFixture(new LocalOptions(
                quick.originBytesPerSecond(),
                quick.storeBytesPerSecond(),
                quick.instanceBytesPerSecond(),
                new EngineStandin.Timing(16, 2, 1),
                quick.chunkTimeoutMillis(),
                quick.windowBytes(),
                quick.claimTimeoutMillis(),
                300,
                400,
                quick.isolationTimeoutMillis()));
    }

    @AfterAll
    static void stop() {
        fixture.close();
    }

    private static double generation(String agent) {
        return fixture.metric(fixture.system.metricsAddress(agent), "configuration.generation");
    }

    private static Set<String> replicas() {
        return fixture.status("entry-1").replicas().stream()
                .filter(replica -> replica.placement().equals("assistant"))
                .map(OperatorMessages.Replica::instance)
                .collect(Collectors.toSet());
    }

    @Test
    @Order(1)
    void shouldPutPlanInForceOnceWhenAnswersOfTheLogAreLost() throws IOException {
        fixture.awaitListed();
        fixture.system.platform().setFaults(ANSWERS_LOST);
        String plan = fixture.plan("entry-1", fixture.intent(fixture.weights.version(), BOTH_HALLS, 3))
                .id();
        HttpResponse confirmed = fixture.confirm("entry-2", plan);
        assertEquals(200, confirmed.status(), SystemFixture.text(confirmed));
        fixture.system.platform().setFaults(Faults.none());
        fixture.awaitReady(fixture.weights.version());
    }

    @Test
    @Order(2)
    void shouldReplaceLostReplicaInsideEnvelopeWithNobodyAwake() {
        Set<String> before = replicas();
        String lost = before.stream().sorted().findFirst().orElseThrow();
        fixture.system.agent(lost).kill();
        fixture.system.unlist(lost);
        Await.until(
                "the replacement",
                () -> !replicas().contains(lost) && replicas().size() == 3);
        fixture.awaitReady(fixture.weights.version());
        assertEquals(
                200, fixture.chat("entry-1", SystemFixture.RIDERS, 2, false).status());
        String second = replicas().stream().sorted().findFirst().orElseThrow();
        fixture.system.agent(second).kill();
        fixture.system.unlist(second);
        Await.until(
                "the loss to be seen",
                () -> fixture.explain("entry-1").replicas().stream()
                        .anyMatch(candidate -> candidate.instance().equals(second) && !candidate.eligible()));
        assertTrue(replicas().contains(second), "the envelope allows one replacement only");
        assertEquals(
                200, fixture.chat("entry-1", SystemFixture.RIDERS, 2, false).status());
    }

    @Test
    @Order(3)
    void shouldStartFromCheckpointWhenOlderRecordsAreGone() {
        Await.until("a checkpoint", () -> {
            double before = generation("billing-1");
            return before > 6;
        });
        fixture.system.platform().log().retainNewest("configuration", 3);
        fixture.system.agent("billing-1").kill();
        fixture.system.startAgent("billing-1");
        Await.until("the generation", () -> generation("billing-1") >= 6);
        assertEquals(0, fixture.metric(fixture.system.metricsAddress("billing-1"), "configuration.stopped"));
    }

    @Test
    @Order(4)
    void shouldStartFromPeerWhenLogIsOut() {
        fixture.system.platform().setFaults(LOG_DOWN);
        double others = generation("billing-1");
        fixture.system.agent("billing-2").kill();
        fixture.system.startAgent("billing-2");
        Await.until("the generation", () -> generation("billing-2") >= others);
        fixture.system.platform().setFaults(Faults.none());
    }

    // -- requests that may not be repeated

    /**
     * Waits until an entry knows the agents that were started again above. Until its next look at them its claims name the
     * processes before, which the new ones refuse, truthfully, as not run.
     */
    private static void awaitNewProcessesKnown() {
        int[] tries = new int[1];
        Await.until("a charge by a new process", () -> {
            tries[0]++;
            return fixture.charge("entry-1", "first-key-" + tries[0], "first").status() == 200;
        });
    }

    @Test
    @Order(5)
    void shouldNeverRunChargeAgainWhenItsAgentDiesDuringTheRun() {
        Await.until(
                "both services",
                () -> fixture.status("entry-1").replicas().stream()
                        .filter(replica -> replica.placement().equals("billing"))
                        .allMatch(replica -> replica.state().equals("ready")));
        awaitNewProcessesKnown();
        fixture.system.service("billing-1").setCallMillis(600_000);
        fixture.system.service("billing-2").setCallMillis(600_000);
        CompletableFuture<HttpResponse> first =
                CompletableFuture.supplyAsync(() -> fixture.charge("entry-1", "key", "charge"));
        Await.until("the run", () -> {
            boolean ran = fixture.runsOf("charge") == 1;
            assertTrue(ran || !first.isDone(), () -> "ended without a run: " + SystemFixture.text(first.join()));
            return ran;
        });
        boolean atFirst = fixture.system.service("billing-1").runsByDigest().containsKey(Digest.of("charge"));
        String running = atFirst ? "billing-1" : "billing-2";
        HttpResponse meanwhile = fixture.charge("entry-2", "key", "charge");
        assertEquals(409, meanwhile.status());
        assertEquals(
                "unknown", meanwhile.headers().first("X-Micabarrow-Outcome").orElseThrow());
        fixture.system.agent(running).kill();
        assertEquals(502, first.join().status(), SystemFixture.text(first.join()));
        assertEquals(
                "unknown", first.join().headers().first("X-Micabarrow-Outcome").orElseThrow());
        fixture.system.startAgent(running);
        Await.until("the new process", () -> generation(running) >= 6);
        for (String entry : List.of("entry-1", "entry-2")) {
            HttpResponse again = fixture.charge(entry, "key", "charge");
            assertEquals(
                    "unknown", again.headers().first("X-Micabarrow-Outcome").orElseThrow(), SystemFixture.text(again));
        }
        assertEquals(1, fixture.runsOf("charge"));
        fixture.system.service("billing-1").setCallMillis(1);
        fixture.system.service("billing-2").setCallMillis(1);
    }
}
