package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;

/** Simulated origin of weights. Serves every version of every model in a few small generated chunks. */
final class HostedOriginStandin implements HttpHandler {

    /** Number of chunks per version. */
    static final int CHUNKS = 4;

    /** Chunk size in bytes; small enough that transfers take negligible time in rehearsals. */
    static final int CHUNK_BYTES = 1024;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final LongSupplier newestVersion;

    /**
     * Creates an origin.
     *
     * @param newestVersion the version for requests that name none
     */
    HostedOriginStandin(LongSupplier newestVersion) {
        this.newestVersion = newestVersion;
    }

    /** Generates a chunk: one byte value repeated, different for each chunk of a version. */
    private static byte[] chunk(long version, int index) {
        byte[] bytes = new byte[CHUNK_BYTES];
        Arrays.fill(bytes, (byte) (version * 16 + index));
        return bytes;
    }

    private static List<String> digests(long version) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            all.add(Digest.of(chunk(version, i)));
        }
        return all;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.startsWith("/api/manifest/")) {
            long version = StandinCalls.parameter(exchange, "version")
                    .map(Long::parseLong)
                    .orElseGet(newestVersion::getAsLong);
            StandinCalls.answer(
                    exchange, OK, CanonicalJson.write(Map.of("version", version, "digests", digests(version))));
        } else if (path.startsWith("/api/piece/")) {
            int index = (int) StandinCalls.longParameter(exchange, "sample_count");
            StandinCalls.answer(exchange, OK, chunk(StandinCalls.longParameter(exchange, "version"), index));
        } else {
            StandinCalls.answer(exchange, NOT_FOUND, new byte[0]);
        }
    }
}
