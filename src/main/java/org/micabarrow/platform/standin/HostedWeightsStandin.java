package org.micabarrow.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import org.micabarrow.state.CanonicalJson;

/**
 * Stands in for what an endpoint does with its model's weights: it reports what it holds, keeps staged chunks, and takes
 * up at once whatever version it is ordered to. Safe for any number of threads.
 */
final class HostedWeightsStandin {

    private static final String REPORT = "/api/report";
    private static final String ORDER = "/api/order";
    private static final String STAGE = "/api/stage-";
    private static final String STAGE_PUT = STAGE + "put/";

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final String model;
    private final IntSupplier running;
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private long version;
    private int orders;
    private OptionalLong startedMillis = OptionalLong.empty();

    /**
     * Makes a stand-in.
     *
     * @param model the endpoint's model
     * @param version the weight version that it holds; 0 for none
     * @param running how many requests it says that it runs
     */
    HostedWeightsStandin(String model, long version, IntSupplier running) {
        this.model = model;
        this.version = version;
        this.running = running;
    }

    /** Whether a call is about weights. */
    static boolean takes(String path) {
        return path.equals(REPORT) || path.equals(ORDER) || path.startsWith(STAGE);
    }

    /** Answers a call that is about weights. */
    synchronized void answer(HttpServerExchange exchange, byte[] body) {
        switch (exchange.getRequestPath()) {
            case REPORT -> StandinCalls.answer(exchange, OK, report());
            case ORDER -> order(exchange, body);
            default -> stage(exchange, body);
        }
    }

    /** Tells from now on when it was started. */
    synchronized void startedAt(long millis) {
        startedMillis = OptionalLong.of(millis);
    }

    /** Holds nothing any more and has taken no order, as after a restart. */
    synchronized void startAgain(long atMillis, boolean keepsStaged) {
        startedMillis = OptionalLong.of(atMillis);
        version = 0;
        orders = 0;
        if (!keepsStaged) {
            staged.clear();
        }
    }

    /** The weight version that it holds; 0 for none. */
    synchronized long version() {
        return version;
    }

    private byte[] report() {
        List<Map<String, Object>> models =
                version == 0 ? List.of() : List.of(Map.of("name", model, "version", version, "adapters", List.of()));
        Map<String, Object> report = new HashMap<>(Map.of(
                "models", models, "busy", false, "sequence", orders, "queued", 0, "running", running.getAsInt()));
        startedMillis.ifPresent(millis -> report.put("born", millis));
        return CanonicalJson.write(report);
    }

    private void order(HttpServerExchange exchange, byte[] body) {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(body);
            version = json.path("version").asLong();
            orders++;
            StandinCalls.answer(exchange, ACCEPTED, new byte[0]);
        } catch (IOException e) {
            StandinCalls.answer(exchange, BAD_REQUEST, e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private void stage(HttpServerExchange exchange, byte[] body) {
        int index = (int) StandinCalls.number(exchange, "sample_count");
        if (exchange.getRequestPath().startsWith(STAGE_PUT)) {
            staged.put(index, body);
            StandinCalls.answer(exchange, OK, new byte[0]);
        } else if (staged.containsKey(index)) {
            StandinCalls.answer(exchange, OK, staged.get(index));
        } else {
            StandinCalls.answer(exchange, NOT_FOUND, new byte[0]);
        }
    }
}
