package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.RequestClass;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.routing.Route;

class RequestClassesTest {

    private static final Decision FULL = new Decision.Full(3);
    private static final Decision SENT = new Decision.Send(new EndpointSelection.Selected(
            EndpointRegistration.of("e", "s", "127.0.0.1:80", "hall-a", 4, false, Map.of(), 1), 100));

    private final AtomicLong clockMillis = new AtomicLong(1_000);
    private final EndpointSelector selector = new EndpointSelector("region-a", Map.of("hall-a", "region-a"));
    private final MetricRegistry registry = new MetricRegistry();
    private final RequestClasses classes =
            new RequestClasses(selector, new EntryWaitQueue(clockMillis::get), registry, clockMillis::get);

    private static ClientRequest request(int priority, String organisation) {
        Route route = new Route(
                "r" + priority,
                "h",
                "/",
                List.of(new Route.WeightedService("s", 1)),
                RequestKind.RESUMABLE_STREAM,
                6_000,
                400,
                priority,
                2,
                false);
        return new ClientRequest(
                "1",
                "POST",
                "/",
                "h",
                HeaderFields.empty(),
                new byte[0],
                route,
                "s",
                Optional.of(organisation),
                1,
                6_000,
                RequestSize.ofPrompt(100),
                Set.of(),
                AllowedRegions.any());
    }

    private static final ClientRequest URGENT = request(0, "a");
    private static final ClientRequest BATCH = request(2, "a");

    private void arrive(ClientRequest request, int count) {
        for (int i = 0; i < count; i++) {
            classes.arrived(request, false);
        }
    }

    private String refused(ClientRequest request, Function<RequestClass, Decision> decision) {
        return classes.refused(request, false, 3, decision);
    }

    private long count(String name) {
        return registry.counter("requests.class." + name).getCount();
    }

    @Test
    void shouldNameReserveWhenMostUrgentWouldBeSent() {
        arrive(URGENT, 10);
        arrive(BATCH, 10);
        String reason = refused(BATCH, competing -> competing.priority() == 0 ? SENT : FULL);
        assertEquals("none of 3 endpoints has room within its objective, class 12, part reserve", reason);
        assertEquals(1, count("12.refused"));
        assertEquals(10, count("12.received"));
        assertEquals(1, selector.unmetDemand().recent(1_000));
    }

    @Test
    void shouldNameFullWhenNoClassWouldBeSent() {
        assertTrue(refused(URGENT, competing -> FULL).endsWith("class 10, part full"));
        String late = classes.refused(URGENT, true, 3, competing -> SENT);
        assertTrue(late.contains("room to spare") && late.endsWith("part full"), late);
    }

    @Test
    void shouldNameShareWhenOrganisationIsOverItsPart() {
        arrive(URGENT, 10);
        arrive(BATCH, 10);
        ClientRequest loud = request(2, "loud");
        for (int i = 0; i < 100; i++) {
            classes.sent(loud, false);
        }
        for (int i = 0; i < 50; i++) {
            refused(loud, competing -> SENT);
        }
        for (int i = 0; i < 10; i++) {
            classes.sent(BATCH, false);
            refused(BATCH, competing -> FULL);
        }
        // The level up to which organisations are served is computed anew after some time.
        clockMillis.addAndGet(60);
        int unmet = selector.unmetDemand().recent(clockMillis.get());
        assertTrue(refused(loud, competing -> SENT).endsWith("part share"));
        assertEquals(unmet, selector.unmetDemand().recent(clockMillis.get()), "it has no claim to slots of others");
    }

    @Test
    void shouldTellDemandOnlyWhenPrioritiesDiffer() {
        arrive(BATCH, 10);
        assertEquals(EntryDemand.none(), classes.demand());
    }

    @Test
    void shouldWaitWhenNothingIsKnownOfTheQueue() {
        arrive(URGENT, 10);
        arrive(BATCH, 10);
        assertTrue(classes.waits(BATCH, new Decision.Wait(200, 3)));
        assertEquals(1, count("12.waiting"));
        assertFalse(registry.counter("requests.class.12.refusedEarly").getCount() > 0);
    }
}
