package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;

/** Stands in for the origin of weights: any version of any model is there, in a few small chunks. */
final class HostedOriginStandin implements HttpHandler {

    /** How many chunks a version has. */
    static final int CHUNKS = 4;

    /** The size of a chunk, in bytes: so small that a rehearsal takes no time over it. */
    static final int CHUNK_BYTES = 1024;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** A chunk, of bytes that are all alike and differ from those of the version's other chunks. */
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
            List<String> digests = digests(StandinCalls.number(exchange, "version"));
            StandinCalls.answer(exchange, OK, CanonicalJson.write(Map.of("digests", digests)));
        } else if (path.startsWith("/api/piece/")) {
            int index = (int) StandinCalls.number(exchange, "sample_count");
            StandinCalls.answer(exchange, OK, chunk(StandinCalls.number(exchange, "version"), index));
        } else {
            StandinCalls.answer(exchange, NOT_FOUND, new byte[0]);
        }
    }
}
