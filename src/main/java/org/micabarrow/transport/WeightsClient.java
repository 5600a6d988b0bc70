package org.micabarrow.transport;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.micabarrow.coordination.weights.Source;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.settings.Common;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Result;

/** Reads weights from the store and the origin over HTTP, and from other agents through {@link AgentChunks}. */
public final class WeightsClient implements Weights {

    /** The timeout for a manifest from the store or the origin. */
    private static final Duration MANIFEST_TIMEOUT = Duration.ofSeconds(5);

    private static final int OK = 200;

    /** The minimum number of concurrent requests for chunks, so that the next chunk is there when one has arrived. */
    private static final int MIN_CONCURRENT = 2;

    /** The maximum number of concurrent requests for chunks, which limits the connections to the store. */
    private static final int MAX_CONCURRENT = 32;

    private final HttpClient client;
    private final Common.Platform platform;
    private final AgentChunks agents;
    private final LinkPacer link;
    private final LongSupplier generation;
    private final long prefetchBytes;

    /**
     * Creates a client.
     *
     * @param client sends HTTP requests
     * @param platform the addresses of store and origin
     * @param agents opens streams from other agents
     * @param link limits what is received to the link's rate
     * @param generation the generation that is active here
     * @param prefetchBytes how many bytes may be in transit from the store at once
     */
    public WeightsClient(
            HttpClient client,
            Common.Platform platform,
            AgentChunks agents,
            LinkPacer link,
            LongSupplier generation,
            long prefetchBytes) {
        this.prefetchBytes = prefetchBytes;
        this.client = Objects.requireNonNull(client, "client is null");
        this.platform = Objects.requireNonNull(platform, "platform is null");
        this.agents = Objects.requireNonNull(agents, "agents is null");
        this.link = Objects.requireNonNull(link, "link is null");
        this.generation = Objects.requireNonNull(generation, "generation is null");
    }

    /** Opens streams of chunks from other agents. */
    @FunctionalInterface
    public interface AgentChunks {

        /**
         * Opens a stream of chunks from another agent.
         *
         * @param address the agent
         * @param artifact the manifest's digest
         * @param from the first chunk wanted
         * @param to the index after the last chunk wanted
         * @param generation this process's generation
         * @return the stream
         */
        Feed open(String address, String artifact, int from, int to, long generation);
    }

    @Override
    public Result<Manifest> manifest(String artifact) {
        Result<Manifest> stored = manifestFrom(platform.store(), artifact);
        return stored instanceof Result.Success ? stored : manifestFrom(platform.origin(), artifact);
    }

    private Result<Manifest> manifestFrom(String base, String artifact) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create(base + "/weights/" + artifact + "/manifest"));
        return client.read(call, MANIFEST_TIMEOUT, response -> PlatformClient.read(call, response, Manifest.class))
                .flatMap(manifest -> manifest.version().equals(artifact)
                        ? Result.success(manifest)
                        : Result.failure(Fault.of(
                                Step.FETCH,
                                base,
                                Reason.CORRUPT,
                                "the manifest of " + artifact + " has a different digest")));
    }

    @Override
    public Feed open(Source source, String artifact, int from, int to) {
        Feed feed = switch (source) {
            case Source.Peer peer -> agents.open(peer.replica().address(), artifact, from, to, generation.getAsLong());
            case Source.Store ignored -> new HttpFeed(platform.store(), artifact, from, to, prefetchBytes);
            case Source.Origin ignored -> new HttpFeed(platform.origin(), artifact, from, to, 0);
        };
        return new PacedFeed(feed);
    }

    /** Limits a feed to the rate of this instance's link. */
    private final class PacedFeed implements Feed {

        private final Feed feed;

        private PacedFeed(Feed feed) {
            this.feed = feed;
        }

        @Override
        public Result<byte[]> next(Patience timeouts) {
            Result<byte[]> data = feed.next(timeouts);
            data.toOptional().ifPresent(bytes -> link.acquire(bytes.length));
            return data;
        }

        @Override
        public void close() {
            feed.close();
        }
    }

    /**
     * Reads chunk by chunk over HTTP, with several concurrent requests: two to the origin, whose bytes are counted, and
     * to the store as many as a fraction of the window allows, since a slow store delays every request.
     */
    private final class HttpFeed implements Feed {

        private final String base;
        private final String artifact;
        private final long maxBytesInTransit;
        private int concurrency = MIN_CONCURRENT;
        private final Deque<HttpClient.PendingCall> pending = new ArrayDeque<>();
        private int nextIndex;
        private int remaining;

        private HttpFeed(String base, String artifact, int from, int to, long maxBytesInTransit) {
            this.base = base;
            this.artifact = artifact;
            this.maxBytesInTransit = maxBytesInTransit;
            this.nextIndex = from;
            this.remaining = to - from;
        }

        @Override
        public Result<byte[]> next(Patience timeouts) {
            while (pending.size() < concurrency && remaining > 0) {
                URI uri = URI.create(base + "/weights/" + artifact + "/chunks/" + nextIndex++);
                pending.addLast(client.callAsync(HttpCall.get(Step.FETCH, uri)));
                remaining--;
            }
            Result<byte[]> chunk = await(timeouts.silence());
            chunk.toOptional()
                    .filter(data -> data.length > 0)
                    .ifPresent(data -> concurrency =
                            (int) Math.clamp(maxBytesInTransit / data.length, MIN_CONCURRENT, MAX_CONCURRENT));
            return chunk;
        }

        private Result<byte[]> await(Duration timeout) {
            return pending.removeFirst()
                    .await(timeout)
                    .flatMap(response -> response.status() == OK
                            ? Result.success(response.body())
                            : Result.failure(Fault.of(
                                    Step.FETCH,
                                    base,
                                    Reason.UNREACHABLE,
                                    "a request for a chunk returned status " + response.status())));
        }

        @Override
        public void close() {
            pending.forEach(call -> call.cancel().run());
        }
    }
}
