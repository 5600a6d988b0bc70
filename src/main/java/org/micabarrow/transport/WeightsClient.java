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

/** Reads weights: from the store and the origin over HTTP, from other agents as it is handed in. */
public final class WeightsClient implements Weights {

    /** How long store or origin may take for a manifest. */
    private static final Duration MANIFEST_WITHIN = Duration.ofSeconds(5);

    private static final int OK = 200;

    /** The fewest chunks that are on their way at once, so that the next is there when one has come. */
    private static final int LEAST_AHEAD = 2;

    /** The most chunks that are on their way at once, which bounds the connections to the store. */
    private static final int MOST_AHEAD = 32;

    private final HttpClient caller;
    private final Common.Platform platform;
    private final AgentChunks agents;
    private final LinkPacer link;
    private final LongSupplier generation;
    private final long aheadBytes;

    /**
     * Makes a client.
     *
     * @param caller sends HTTP requests
     * @param platform where store and origin are
     * @param agents opens streams from other agents
     * @param link holds what is received to the link's rate
     * @param generation the generation in force here
     * @param aheadBytes how many bytes may be on their way from the store at once
     */
    public WeightsClient(
            HttpClient caller,
            Common.Platform platform,
            AgentChunks agents,
            LinkPacer link,
            LongSupplier generation,
            long aheadBytes) {
        this.aheadBytes = aheadBytes;
        this.caller = Objects.requireNonNull(caller, "caller is null");
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
        return caller.call(call, MANIFEST_WITHIN)
                .flatMap(answer -> PlatformClient.read(call, answer, Manifest.class))
                .flatMap(manifest -> manifest.version().equals(artifact)
                        ? Result.success(manifest)
                        : Result.failure(Fault.of(
                                Step.FETCH,
                                base,
                                Reason.CORRUPT,
                                "the manifest of " + artifact + " has another digest")));
    }

    @Override
    public Feed open(Source source, String artifact, int from, int to) {
        Feed feed = switch (source) {
            case Source.Peer peer -> agents.open(peer.replica().address(), artifact, from, to, generation.getAsLong());
            case Source.Store ignored -> new HttpFeed(platform.store(), artifact, from, to, aheadBytes);
            case Source.Origin ignored -> new HttpFeed(platform.origin(), artifact, from, to, 0);
        };
        return new PacedFeed(feed);
    }

    /** Holds a feed to the rate of this instance's link. */
    private final class PacedFeed implements Feed {

        private final Feed feed;

        private PacedFeed(Feed feed) {
            this.feed = feed;
        }

        @Override
        public Result<byte[]> next(Patience patience) {
            Result<byte[]> data = feed.next(patience);
            data.toOptional().ifPresent(bytes -> link.take(bytes.length));
            return data;
        }

        @Override
        public void close() {
            feed.close();
        }
    }

    /**
     * Reads chunk by chunk over HTTP, with some requests on their way at once: two at the origin, whose bytes are
     * counted, and at the store as many as a part of the window allows, since a slow store is slow at each request.
     */
    private final class HttpFeed implements Feed {

        private final String base;
        private final String artifact;
        private final long bytesAhead;
        private int ahead = LEAST_AHEAD;
        private final Deque<HttpClient.Pending> pending = new ArrayDeque<>();
        private int nextToAsk;
        private int left;

        private HttpFeed(String base, String artifact, int from, int to, long bytesAhead) {
            this.base = base;
            this.artifact = artifact;
            this.bytesAhead = bytesAhead;
            this.nextToAsk = from;
            this.left = to - from;
        }

        @Override
        public Result<byte[]> next(Patience patience) {
            while (pending.size() < ahead && left > 0) {
                URI uri = URI.create(base + "/weights/" + artifact + "/chunks/" + nextToAsk++);
                pending.addLast(caller.begin(HttpCall.get(Step.FETCH, uri)));
                left--;
            }
            Result<byte[]> chunk = await(patience.silence());
            chunk.toOptional()
                    .filter(data -> data.length > 0)
                    .ifPresent(data -> ahead = (int) Math.clamp(bytesAhead / data.length, LEAST_AHEAD, MOST_AHEAD));
            return chunk;
        }

        private Result<byte[]> await(Duration silence) {
            return pending.removeFirst()
                    .await(silence)
                    .flatMap(answer -> answer.status() == OK
                            ? Result.success(answer.body())
                            : Result.failure(Fault.of(
                                    Step.FETCH, base, Reason.UNREACHABLE, "a chunk gave status " + answer.status())));
        }

        @Override
        public void close() {
            pending.forEach(one -> one.cancel().run());
        }
    }
}
