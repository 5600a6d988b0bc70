package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches the chunks of one weight version, several at a time, from other agents and as a last resort the origin. */
public final class ChunkFetcher {

    private static final Logger LOG = LoggerFactory.getLogger(ChunkFetcher.class);

    /**
     * How many chunks are fetched at once: enough to hide a round trip and a wait for a chunk that is on its way, and few
     * enough that those which arrive together hold up the endpoint's requests by two chunks' time at most.
     */
    private static final int AT_ONCE = 4;

    /** How long an agent that did not answer is passed over, in milliseconds. */
    private static final long PASSED_OVER_MILLIS = 3_000;

    /** The pause before a chunk that nobody gave is asked for again, in milliseconds. */
    private static final long AGAIN_MILLIS = 200;

    private final WeightOrigin peers;
    private final WeightOrigin origin;
    private final Supplier<Optional<String>> originAddress;
    private final Supplier<ChunkSources> sources;
    private final Consumer<Integer> downlink;
    private final LongSupplier steadyMillis;
    private final Map<String, Long> silentUntil = new ConcurrentHashMap<>();

    /**
     * Makes a fetcher.
     *
     * @param peers asks other agents
     * @param origin asks the origin
     * @param originAddress where the origin is, if it is known
     * @param sources whom to ask for which chunk, as seen now
     * @param downlink waits until the link can spare some bytes
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public ChunkFetcher(
            WeightOrigin peers,
            WeightOrigin origin,
            Supplier<Optional<String>> originAddress,
            Supplier<ChunkSources> sources,
            Consumer<Integer> downlink,
            LongSupplier steadyMillis) {
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.origin = Objects.requireNonNull(origin, "origin is null");
        this.originAddress = Objects.requireNonNull(originAddress, "originAddress is null");
        this.sources = Objects.requireNonNull(sources, "sources is null");
        this.downlink = Objects.requireNonNull(downlink, "downlink is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
    }

    // -- digests

    /**
     * Learns the digests of a version, from the origin or else from any agent.
     *
     * @param model the model
     * @param version the version
     * @return an empty set of its chunks
     */
    public Result<ChunkSet> begin(String model, long version) {
        Optional<String> from = originAddress.get();
        Result<List<String>> last = from.isPresent()
                ? origin.digests(from.get(), model, version)
                : Result.failure(
                        Fault.of(Fault.Step.FETCH, "origin", Fault.Reason.NOT_FOUND, "the manifest names no origin"));
        for (String agent : sources.get().of(0)) {
            if (!(last instanceof Result.Failure<List<String>>(Fault fault))) {
                break;
            }
            LOG.info("event=digests_missed model={} version={} next={} why=\"{}\"", model, version, agent, fault);
            last = peers.digests(agent, model, version);
        }
        return last.map(digests -> new ChunkSet(model, version, digests));
    }

    // -- chunks

    /**
     * Fetches all missing chunks.
     *
     * @param set the set to fill
     * @param wanted whether the version is still wanted; fetching ends when it is not
     * @throws InterruptedException if the thread is interrupted
     */
    public void fetch(ChunkSet set, Supplier<Boolean> wanted) throws InterruptedException {
        long began = steadyMillis.getAsLong();
        Queue<Integer> missing =
                new ConcurrentLinkedQueue<>(sources.get().order(set.digests().size()));
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
            Thread thread = new Thread(() -> fetchSome(set, missing, wanted), "fetch-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        LOG.info(
                "event=fetched model={} version={} chunks={} of={} ms={}",
                set.model(),
                set.version(),
                set.present(),
                set.digests().size(),
                steadyMillis.getAsLong() - began);
    }

    private void fetchSome(ChunkSet set, Queue<Integer> missing, Supplier<Boolean> wanted) {
        try {
            for (Integer index = missing.poll(); index != null && wanted.get(); index = missing.poll()) {
                while (set.chunk(index).isEmpty() && wanted.get() && !fetchOne(set, index)) {
                    Thread.sleep(AGAIN_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            LOG.info("event=fetch_stopped model={} version={}", set.model(), set.version());
        }
    }

    private boolean fetchOne(ChunkSet set, int index) {
        for (String agent : sources.get().of(index)) {
            if (silentUntil.getOrDefault(agent, Long.MIN_VALUE) > steadyMillis.getAsLong()) {
                continue;
            }
            Result<byte[]> got = peers.chunk(agent, set.model(), set.version(), index);
            if (got instanceof Result.Failure<byte[]>(Fault fault) && fault.reason() != Fault.Reason.NOT_FOUND) {
                silentUntil.put(agent, steadyMillis.getAsLong() + PASSED_OVER_MILLIS);
            }
            if (taken(set, index, agent, got)) {
                downlink.accept(set.chunk(index).orElseThrow().length);
                return true;
            }
        }
        return originAddress
                .get()
                .map(address -> taken(set, index, "origin", origin.chunk(address, set.model(), set.version(), index)))
                .orElse(false);
    }

    private static boolean taken(ChunkSet set, int index, String from, Result<byte[]> got) {
        String why = switch (got) {
            case Result.Success<byte[]>(byte[] bytes) when set.put(index, bytes) -> "";
            case Result.Success<byte[]> ignored -> "the digest is wrong";
            case Result.Failure<byte[]>(Fault fault) -> fault.toString();
        };
        if (!why.isEmpty()) {
            LOG.info(
                    "event=chunk_missed model={} version={} chunk={} from={} why=\"{}\"",
                    set.model(),
                    set.version(),
                    index,
                    from,
                    why);
        }
        return why.isEmpty();
    }
}
