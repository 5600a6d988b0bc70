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
 * Simulated weight handling of an endpoint: reports the loaded version, stores staged chunks, and loads an ordered
 * version immediately. Thread-safe.
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
    private final Map<Integer, byte[]> stagedChunks = new HashMap<>();
    private long version;
    private int orderCount;
    private OptionalLong startedMillis = OptionalLong.empty();

    /**
     * Creates a stand-in.
     *
     * @param model the endpoint's model
     * @param version the loaded weight version; 0 for none
     * @param running the number of running requests to report
     */
    HostedWeightsStandin(String model, long version, IntSupplier running) {
        this.model = model;
        this.version = version;
        this.running = running;
    }

    /** Returns whether the path belongs to the weights API. */
    static boolean handles(String path) {
        return path.equals(REPORT) || path.equals(ORDER) || path.startsWith(STAGE);
    }

    /** Handles a call to the weights API. */
    synchronized void answer(HttpServerExchange exchange, byte[] body) {
        switch (exchange.getRequestPath()) {
            case REPORT -> StandinCalls.answer(exchange, OK, report());
            case ORDER -> handleOrder(exchange, body);
            default -> handleStagedChunk(exchange, body);
        }
    }

    /** Sets the start time stated in reports. */
    synchronized void setStartedMillis(long millis) {
        startedMillis = OptionalLong.of(millis);
    }

    /** Resets the loaded version and the order count, as after a restart. */
    synchronized void restart(long atMillis, boolean keepsStaged) {
        startedMillis = OptionalLong.of(atMillis);
        version = 0;
        orderCount = 0;
        if (!keepsStaged) {
            stagedChunks.clear();
        }
    }

    /** Returns the loaded weight version; 0 for none. */
    synchronized long version() {
        return version;
    }

    private byte[] report() {
        List<Map<String, Object>> models =
                version == 0 ? List.of() : List.of(Map.of("name", model, "version", version, "adapters", List.of()));
        Map<String, Object> report = new HashMap<>(Map.of(
                "models", models, "busy", false, "sequence", orderCount, "queued", 0, "running", running.getAsInt()));
        startedMillis.ifPresent(millis -> report.put("born", millis));
        return CanonicalJson.write(report);
    }

    private void handleOrder(HttpServerExchange exchange, byte[] body) {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(body);
            version = json.path("version").asLong();
            orderCount++;
            StandinCalls.answer(exchange, ACCEPTED, new byte[0]);
        } catch (IOException e) {
            StandinCalls.answer(exchange, BAD_REQUEST, e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private void handleStagedChunk(HttpServerExchange exchange, byte[] body) {
        int index = (int) StandinCalls.longParameter(exchange, "sample_count");
        if (exchange.getRequestPath().startsWith(STAGE_PUT)) {
            stagedChunks.put(index, body);
            StandinCalls.answer(exchange, OK, new byte[0]);
        } else if (stagedChunks.containsKey(index)) {
            StandinCalls.answer(exchange, OK, stagedChunks.get(index));
        } else {
            StandinCalls.answer(exchange, NOT_FOUND, new byte[0]);
        }
    }
}
