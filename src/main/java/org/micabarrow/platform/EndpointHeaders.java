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

/** Writes requests to endpoints, and reads the beginning of their answers, as the platform has them. */
public final class EndpointHeaders implements EndpointProtocol {

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private static final double MILLIS_A_SECOND = 1_000;

    /** The longest rest that is believed, in milliseconds: a day; more would overflow a clock. */
    private static final double MOST_REST_MILLIS = 24 * 3_600_000.0;

    /** A whole number or a fraction, not below 0; a date is none. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,300}(?:\\.\\d{0,300})?");

    /** The last rank that endpoints are told: what ranks behind it, or comes too late for its objective, is told as this. */
    private static final int MOST_PRIORITY = 9;

    /** The most digits of a number that surely fits. */
    private static final int MOST_DIGITS = 18;

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
            int rank = sending.objectiveMissed() ? MOST_PRIORITY : Math.clamp(request.priority(), 0, MOST_PRIORITY);
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
                status == UNAVAILABLE ? restMillis(headers.get(WireNames.REST)) : OptionalLong.empty(),
                limit(headers),
                coldMillis(headers.get(WireNames.COLD)),
                passedOn);
    }

    /**
     * For how long an endpoint asks for rest; of several times the longest. What is no time, or none above 0, counts as absent.
     */
    static OptionalLong restMillis(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        return decimals(text)
                .map(seconds -> Math.min(seconds * MILLIS_A_SECOND, MOST_REST_MILLIS))
                .mapToLong(Math::round)
                .filter(millis -> millis > 0)
                .max();
    }

    /**
     * How much longer an endpoint stays cold, as it says in an answer; of several times the longest. What is no time, or none above
     * 0, counts as absent.
     */
    static OptionalLong coldMillis(String text) {
        return text == null
                ? OptionalLong.empty()
                : decimals(text)
                        .mapToLong(EndpointFields::coldMillis)
                        .filter(millis -> millis > 0)
                        .max();
    }

    /** Whether an endpoint says in an answer, to whatever, that it leaves. */
    static boolean leaving(Map<String, String> headers) {
        return "1".equals(headers.get(WireNames.LEAVING));
    }

    /**
     * The requests a second that an endpoint takes from all entries together; of several numbers the least. What is no number counts as
     * absent.
     */
    static OptionalDouble limit(Map<String, String> headers) {
        return decimals(headers.getOrDefault(WireNames.LIMIT, ""))
                .filter(Double::isFinite)
                .min();
    }

    /** The numbers in a header that may have been sent several times; what is no number counts as absent. */
    private static DoubleStream decimals(String text) {
        return Stream.of(text.split(","))
                .map(String::trim)
                .filter(DECIMAL.asMatchPredicate())
                .mapToDouble(Double::parseDouble);
    }

    /** A whole number; what a broken endpoint writes instead counts as absent. */
    private static Optional<Long> number(String text) {
        if (text == null
                || text.isEmpty()
                || text.length() > MOST_DIGITS
                || !text.chars().allMatch(Character::isDigit)) {
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }
}
