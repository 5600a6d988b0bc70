package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
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
            List<String> digests = digests(StandinCalls.longParameter(exchange, "version"));
            StandinCalls.answer(exchange, OK, CanonicalJson.write(Map.of("digests", digests)));
        } else if (path.startsWith("/api/piece/")) {
            int index = (int) StandinCalls.longParameter(exchange, "sample_count");
            StandinCalls.answer(exchange, OK, chunk(StandinCalls.longParameter(exchange, "version"), index));
        } else {
            StandinCalls.answer(exchange, NOT_FOUND, new byte[0]);
        }
    }
}
