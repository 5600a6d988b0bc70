package org.micabarrow.platform;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.routing.Route;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.routing.RouteManifest.KeyOwner;
import org.micabarrow.serving.RequestReader;
import org.micabarrow.transport.HeaderMaps;

/** Reads clients' requests as the platform writes them. */
public final class RequestHeaders implements RequestReader {

    private static final int UNAUTHORISED = 401;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;

    private static final String HOST = "Host";

    /** Fields that the system handles or sets itself. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "Expect",
            WireNames.DEADLINE,
            WireNames.KEY,
            WireNames.ORGANISATION,
            WireNames.EXPECTED_ENDPOINT,
            WireNames.EXPECTED_VERSION,
            WireNames.PRIORITY);

    /** The longest time that a client is believed to wait, in milliseconds: a day; more would overflow a clock. */
    private static final long MAX_DEADLINE_MILLIS = 24 * 3_600_000L;

    /** The most tokens that a client is believed to send or expect: far beyond any context, and safe to add up. */
    private static final int MAX_TOKENS = 10_000_000;

    private final RandomGenerator random;

    /**
     * Makes a reader.
     *
     * @param random divides the requests of split routes
     */
    public RequestHeaders(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    @Override
    public String id(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(WireNames.ATTEMPT))
                .orElse("-");
    }

    @Override
    public Optional<ReadResult.Refused> check(HttpServerExchange exchange, RouteManifest manifest) {
        return switch (readHead(exchange, manifest)) {
            case HeadResult.Refused(ReadResult.Refused refused) -> Optional.of(refused);
            case HeadResult.Allowed allowed -> Optional.empty();
        };
    }

    @Override
    public ReadResult read(HttpServerExchange exchange, byte[] body, RouteManifest manifest, long nowMillis) {
        return switch (readHead(exchange, manifest)) {
            case HeadResult.Refused(ReadResult.Refused refused) -> refused;
            case HeadResult.Allowed(HeaderFields headers, Route route, Optional<KeyOwner> owner) ->
                new ReadResult.Allowed(request(exchange, headers, body, route, owner, nowMillis, pathOf(exchange)));
        };
    }

    /** What the head of a request comes to. */
    private sealed interface HeadResult {

        record Allowed(HeaderFields headers, Route route, Optional<KeyOwner> owner) implements HeadResult {}

        record Refused(ReadResult.Refused reason) implements HeadResult {}
    }

    private static HeadResult readHead(HttpServerExchange exchange, RouteManifest manifest) {
        HeaderFields headers = HeaderMaps.fields(exchange.getRequestHeaders());
        String host = headers.first(HOST).orElse("");
        Optional<Route> route = manifest.route(hostName(host), pathOf(exchange));
        if (route.isEmpty()) {
            return refused(NOT_FOUND, "no route takes this host and path");
        }
        Optional<KeyOwner> owner = headers.first(WireNames.KEY).flatMap(manifest::owner);
        if (manifest.keysRequired() && !route.get().open() && owner.isEmpty()) {
            return refused(UNAUTHORISED, "no organisation holds this key");
        }
        int ids = headers.all(WireNames.ATTEMPT).size();
        if (ids != 1) {
            return refused(
                    BAD_REQUEST, "the request carries " + (ids == 0 ? "no " : "more than one ") + WireNames.ATTEMPT);
        }
        return new HeadResult.Allowed(headers, route.get(), owner);
    }

    private static HeadResult refused(int status, String reason) {
        return new HeadResult.Refused(new ReadResult.Refused(status, reason));
    }

    private ClientRequest request(
            HttpServerExchange exchange,
            HeaderFields headers,
            byte[] body,
            Route route,
            Optional<KeyOwner> owner,
            long nowMillis,
            String path) {
        String query = exchange.getQueryString();
        return new ClientRequest(
                headers.first(WireNames.ATTEMPT).orElseThrow(),
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? path : path + "?" + query,
                headers.first(HOST).orElse(""),
                ConnectionFields.removeFrom(headers).without(NOT_PASSED_ON),
                body,
                route,
                route.selectService(random.nextDouble()),
                owner.map(KeyOwner::organisation),
                owner.flatMap(KeyOwner::priority).orElse(route.priority()),
                nowMillis + deadline(headers, route),
                size(headers),
                PromptPartList.shared(headers.all(WireNames.PROMPT_PARTS)),
                route.allowedRegions().and(owner.map(KeyOwner::allowedRegions).orElse(AllowedRegions.any())));
    }

    /** The path as the client wrote it; what an absolute request line holds before the path is left out. */
    private static String pathOf(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri;
        }
        int host = uri.indexOf("//") + 2;
        int slash = uri.indexOf('/', host);
        return slash < 0 ? "/" : uri.substring(slash);
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    // -- numbers

    private static long deadline(HeaderFields headers, Route route) {
        return headers.first(WireNames.DEADLINE)
                .flatMap(RequestHeaders::number)
                .filter(millis -> millis > 0)
                .map(millis -> Math.min(millis, MAX_DEADLINE_MILLIS))
                .orElse(route.timeoutMillis());
    }

    /** The prompt's tokens and the most tokens to generate stand in one header, divided by a comma. */
    private static RequestSize size(HeaderFields headers) {
        List<String> numbers = headers.first(WireNames.TOKENS).stream()
                .flatMap(stated -> Stream.of(stated.split(",", 2)))
                .toList();
        return new RequestSize(
                tokens(numbers.stream().findFirst()).orElse(0),
                tokens(numbers.stream().skip(1).findFirst()),
                tokens(headers.first(WireNames.LENGTH_HINT)));
    }

    private static OptionalInt tokens(Optional<String> text) {
        return text.flatMap(RequestHeaders::number)
                .map(tokens -> OptionalInt.of(Math.clamp(tokens, 0, MAX_TOKENS)))
                .orElse(OptionalInt.empty());
    }

    private static Optional<Long> number(String text) {
        try {
            return Optional.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
