package org.micabarrow.platform;

import java.net.URI;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.serving.EndpointProtocol;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;

/** Encodes requests to endpoints and decodes the heads of their responses. */
public final class EndpointHeaders implements EndpointProtocol {

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

    /** Headers that belong to the endpoint's connection only. */
    private static final Set<String> NOT_PASSED_ON =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade");

    @Override
    public HttpCall encode(ClientRequest request, AttemptParameters sending) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.put("Host", request.host());
        headers.put(WireNames.DEADLINE, Long.toString(sending.remainingMillis()));
        headers.put(WireNames.EXPECTED_ENDPOINT, sending.endpoint().id());
        request.organisation().ifPresent(name -> headers.put(WireNames.ORGANISATION, name));
        sending.requiredVersion().ifPresent(version -> headers.put(WireNames.EXPECTED_VERSION, Long.toString(version)));
        sending.lastEventId().ifPresent(id -> headers.put(WireNames.LAST_EVENT, id));
        if (request.promptTokens() > 0) {
            int rank = sending.objectiveMissed() ? MAX_PRIORITY : Math.clamp(request.priority(), 0, MAX_PRIORITY);
            headers.put(WireNames.PRIORITY, Integer.toString(rank));
        }
        URI uri = URI.create("http://" + sending.endpoint().address());
        return new HttpCall(Step.RUN, request.method(), uri, Optional.of(request.target()), headers, request.body());
    }

    @Override
    public ResponseHead decodeHead(ClientRequest request, int status, Map<String, String> headers) {
        Map<String, String> passedOn = new HashMap<>();
        headers.forEach((name, value) -> {
            if (!NOT_PASSED_ON.contains(name.toLowerCase(Locale.ROOT))) {
                passedOn.put(name, value);
            }
        });
        return new ResponseHead(
                status,
                request.id().equals(headers.get(WireNames.ATTEMPT)),
                headers.containsKey(WireNames.SIGNATURE),
                headers.containsKey(WireNames.NOT_RUN),
                status == MISDIRECTED,
                number(headers.get(WireNames.WEIGHT_VERSION)),
                leaving(headers),
                status == UNAVAILABLE ? backoffMillis(headers.get(WireNames.REST)) : OptionalLong.empty(),
                limit(headers),
                coldMillis(headers.get(WireNames.COLD)),
                passedOn);
    }

    /**
     * The backoff that an endpoint asks for, the longest if there are several. Values that are not positive numbers are ignored.
     */
    static OptionalLong backoffMillis(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
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
    static OptionalLong coldMillis(String text) {
        return text == null
                ? OptionalLong.empty()
                : decimals(text)
                        .mapToLong(EndpointFields::coldMillis)
                        .filter(millis -> millis > 0)
                        .max();
    }

    /** Whether an endpoint states in a response that it is draining. */
    static boolean leaving(Map<String, String> headers) {
        return "1".equals(headers.get(WireNames.LEAVING));
    }

    /**
     * The requests per second that an endpoint accepts from all entries together, the lowest if there are several. Values that are
     * not numbers are ignored.
     */
    static OptionalDouble limit(Map<String, String> headers) {
        return decimals(headers.getOrDefault(WireNames.LIMIT, ""))
                .filter(Double::isFinite)
                .min();
    }

    /** The numbers in a header that may occur several times; other values are ignored. */
    private static DoubleStream decimals(String text) {
        return Stream.of(text.split(","))
                .map(String::trim)
                .filter(DECIMAL.asMatchPredicate())
                .mapToDouble(Double::parseDouble);
    }

    /** A whole number; any other value is ignored. */
    private static Optional<Long> number(String text) {
        if (text == null
                || text.isEmpty()
                || text.length() > MAX_DIGITS
                || !text.chars().allMatch(Character::isDigit)) {
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }
}
