package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.liveness.EndpointIdentity;
import org.micabarrow.platform.JsonFields.MalformedField;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.serving.EndpointProtocol;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes requests to endpoints and decodes the heads of their responses. */
public final class EndpointHeaders implements EndpointProtocol {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointHeaders.class);

    /** Prefixed to an endpoint's id, gives an id that this endpoint does not have. */
    private static final String OTHER_ID_PREFIX = "not-";

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The longest accepted backoff, in milliseconds: one day; more could overflow a clock. */
    private static final double MAX_BACKOFF_MILLIS = 24 * 3_600_000.0;

    /** A non-negative decimal number; dates do not match. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,300}(?:\\.\\d{0,300})?");

    /** The least urgent priority that endpoints know; also used for less urgent requests and for those that missed their objective. */
    private static final int MAX_PRIORITY = 9;

    /** The number of digits that always fits into a long. */
    private static final int MAX_DIGITS = 18;

    @Override
    public HttpCall encode(ClientRequest request, AttemptParameters sending) {
        HeaderFields headers = request.headers()
                .with("Host", request.host())
                .with(WireNames.DEADLINE, Long.toString(sending.remainingMillis()))
                .with(WireNames.EXPECTED_ENDPOINT, sending.endpoint().id())
                .with(WireNames.ORGANISATION, request.organisation())
                .with(WireNames.EXPECTED_VERSION, sending.requiredVersion().map(String::valueOf))
                .with(WireNames.PRIORITY, priority(request, sending).map(String::valueOf));
        if (sending.lastEventId().isPresent()) {
            // The first attempt resumes where its client asks, later ones where the previous attempt ended.
            headers = headers.with(WireNames.LAST_EVENT, sending.lastEventId());
        }
        URI uri = URI.create("http://" + sending.endpoint().address());
        return new HttpCall(Step.RUN, request.method(), uri, Optional.of(request.target()), headers, request.body());
    }

    private static Optional<Integer> priority(ClientRequest request, AttemptParameters sending) {
        if (request.promptTokens() <= 0) {
            return Optional.empty();
        }
        return Optional.of(sending.objectiveMissed() ? MAX_PRIORITY : Math.clamp(request.priority(), 0, MAX_PRIORITY));
    }

    /**
     * Model endpoints answer a query for their report without a slot, and state their start in it. Any other endpoint is
     * asked at its health path, in the name of an endpoint that it is not: it states its id in refusing, and runs
     * nothing.
     */
    @Override
    public HttpCall encodeIdentityQuery(EndpointRegistration endpoint, Optional<String> healthPath) {
        URI uri = URI.create("http://" + endpoint.address());
        HeaderFields headers = healthPath.isPresent()
                ? HeaderFields.of(WireNames.EXPECTED_ENDPOINT, OTHER_ID_PREFIX + endpoint.id())
                : HeaderFields.empty();
        return new HttpCall(
                Step.STATUS, "GET", uri, Optional.of(healthPath.orElse(WireNames.REPORT)), headers, new byte[0]);
    }

    /** A body that is not a JSON object states nothing: health paths answer in any form. */
    @Override
    public EndpointIdentity decodeIdentity(HeaderFields headers, byte[] body) {
        Optional<String> id = headers.first(WireNames.INSTANCE).map(String::trim);
        try {
            JsonNode json = JsonFields.object(CanonicalJson.mapper().readTree(body), "the answer");
            return new EndpointIdentity(id, EndpointFields.startedMillis(json));
        } catch (IOException | MalformedField e) {
            LOG.debug("event=start_not_stated why=\"{}\"", e.getMessage());
            return new EndpointIdentity(id, OptionalLong.empty());
        }
    }

    @Override
    public ResponseHead decodeHead(ClientRequest request, int status, HeaderFields headers) {
        return new ResponseHead(
                status,
                headers.joined(WireNames.ATTEMPT).filter(request.id()::equals).isPresent(),
                headers.contains(WireNames.SIGNATURE),
                headers.contains(WireNames.NOT_RUN),
                status == MISDIRECTED,
                headers.joined(WireNames.WEIGHT_VERSION).flatMap(EndpointHeaders::number),
                leaving(headers),
                status == UNAVAILABLE ? backoffMillis(headers.joined(WireNames.REST)) : OptionalLong.empty(),
                limit(headers),
                coldMillis(headers.joined(WireNames.COLD)),
                ConnectionFields.removeFrom(headers));
    }

    /**
     * The backoff that an endpoint asks for, the longest if there are several. Values that are not positive numbers are ignored.
     */
    static OptionalLong backoffMillis(Optional<String> text) {
        return decimals(text)
                .map(seconds -> Math.min(seconds * MILLIS_PER_SECOND, MAX_BACKOFF_MILLIS))
                .mapToLong(Math::round)
                .filter(millis -> millis > 0)
                .max();
    }

    /**
     * How much longer an endpoint stays cold by a response, in milliseconds, the longest time if there are several. Values that are
     * not positive numbers are ignored.
     */
    static OptionalLong coldMillis(Optional<String> text) {
        return decimals(text)
                .mapToLong(EndpointFields::coldMillis)
                .filter(millis -> millis > 0)
                .max();
    }

    /** Whether an endpoint states in a response that it is draining. */
    static boolean leaving(HeaderFields headers) {
        return headers.all(WireNames.LEAVING).contains("1");
    }

    /**
     * The requests per second that an endpoint accepts from all entries together, the lowest if there are several. Values that are
     * not numbers are ignored.
     */
    static OptionalDouble limit(HeaderFields headers) {
        return decimals(headers.joined(WireNames.LIMIT))
                .filter(Double::isFinite)
                .min();
    }

    /** The numbers in a header that may occur several times; other values are ignored. */
    private static DoubleStream decimals(Optional<String> text) {
        return text.stream()
                .flatMap(list -> Stream.of(list.split(",")))
                .map(String::trim)
                .filter(DECIMAL.asMatchPredicate())
                .mapToDouble(Double::parseDouble);
    }

    /** A whole number; any other value is ignored. */
    private static Optional<Long> number(String text) {
        if (text.isEmpty() || text.length() > MAX_DIGITS || !text.chars().allMatch(Character::isDigit)) {
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }
}
