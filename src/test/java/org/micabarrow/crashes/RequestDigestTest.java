package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.routing.Route;

class RequestDigestTest {

    private static ClientRequest request(
            String id, String method, String host, String target, String org, String body) {
        Route route = new Route(
                "r", host, "/", List.of(new Route.WeightedService("s", 1)), RequestKind.IDEMPOTENT, 1, 1, 1, 1, false);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HeaderFields headers = HeaderFields.of("Attempt-Id", id);
        return new ClientRequest(
                id,
                method,
                target,
                host,
                headers,
                bytes,
                route,
                "s",
                Optional.of(org),
                1,
                id.length(),
                RequestSize.none(),
                Set.of(),
                AllowedRegions.any());
    }

    private static final ClientRequest ONE = request("1", "POST", "h", "/x?q=1", "org-a", "body");

    @Test
    void shouldBeEqualWhenRequestIsRepeatedUnderAnotherId() {
        ClientRequest again = request("another", "POST", "h", "/x?q=1", "org-a", "body");
        assertEquals(RequestDigest.of(ONE), RequestDigest.of(again));
        assertEquals(RequestDigest.of(ONE), RequestCauses.of(again).digest());
    }

    @Test
    void shouldBeEqualWhenHostIsWrittenInAnotherCase() {
        ClientRequest again = request("another", "POST", "H", "/x?q=1", "org-a", "body");
        assertEquals(RequestDigest.of(ONE), RequestDigest.of(again));
        assertEquals(RequestDigest.of(ONE), RequestCauses.of(again).digest());
    }

    @ParameterizedTest
    @CsvSource({
        "GET,  h,  /x?q=1, org-a, body",
        "POST, h2, /x?q=1, org-a, body",
        "POST, h,  /x?q=2, org-a, body",
        "POST, h,  /x?q=1, org-b, body",
        "POST, h,  /x?q=1, org-a, bodies",
        "POST, h,  /x?q=1, org-a, ''"
    })
    void shouldDifferWhenPartOfRequestDiffers(String method, String host, String target, String org, String body) {
        ClientRequest other = request("1", method, host, target, org, body);
        assertNotEquals(RequestDigest.of(ONE), RequestDigest.of(other));
    }

    @Test
    void shouldBeginWithQuickPart() {
        assertEquals(RequestDigest.quickOf(ONE), RequestDigest.of(ONE).quick());
        assertEquals(RequestDigest.quickOf(ONE), RequestCauses.of(ONE).quick());
        assertEquals(
                RequestDigest.quickOf(ONE),
                RequestCauses.of(RequestDigest.of(ONE)).quick());
    }

    @Test
    void shouldRejectInvalidDigest() {
        assertThrows(IllegalArgumentException.class, () -> new RequestDigest("12"));
        assertThrows(IllegalArgumentException.class, () -> new RequestDigest("x".repeat(32)));
    }
}
