package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
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
     * How many questions for chunks are open at once. Most wait at agents that do not have the chunk yet; what arrives is
     * paced, so that the endpoint's own requests wait behind few chunks.
     */
    private static final int AT_ONCE = 8;

    /** How long an agent that did not answer is passed over, in milliseconds. */
    private static final long PASSED_OVER_MILLIS = 3_000;

    /**
     * How long to wait for an agent that is fetching a chunk itself, in milliseconds: a version takes some three seconds
     * on an agent's link, and another copy from the origin costs more than the wait.
     */
    private static final long FETCHING_MILLIS = 3_000;

    /** How long to wait for an agent that has not begun to fetch, in milliseconds: it may just hear later. */
    private static final long UNAWARE_MILLIS = 700;

    /** The pause after a question that brought no chunk, in milliseconds; agents hold questions themselves. */
    private static final long AGAIN_MILLIS = 10;

    /**
     * How many questions an agent has at the origin at once. The origin resets connections beyond a few dozens, those of
     * processes that lost their power included; all agents together still fill its link.
     */
    private static final int AT_ORIGIN = 1;

    private final WeightOrigin peers;
    private final WeightOrigin origin;
    private final Supplier<Optional<String>> originAddress;
    private final Supplier<ChunkSources> sources;
    private final Consumer<Integer> downlink;
    private final LongSupplier steadyMillis;
    private final Semaphore originTurn = new Semaphore(AT_ORIGIN);
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
        Queue<Missing> missing = new ConcurrentLinkedQueue<>();
        sources.get().order(set.digests().size()).stream()
                .filter(index -> set.chunk(index).isEmpty())
                .forEach(index -> missing.add(new Missing(index)));
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

    private void fetchSome(ChunkSet set, Queue<Missing> missing, Supplier<Boolean> wanted) {
        try {
            for (Missing one = missing.poll(); one != null && wanted.get(); one = missing.poll()) {
                if (!fetchOne(set, one)) {
                    missing.add(one);
                    Thread.sleep(AGAIN_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            LOG.info("event=fetch_stopped model={} version={}", set.model(), set.version());
        }
    }

    /** A chunk that is not here yet, and how far the search for it has come. Held by one thread at a time. */
    private static final class Missing {

        private final int index;
        private int source;
        private long askedSinceMillis = -1;

        private Missing(int index) {
            this.index = index;
        }

        /** Goes on to the next source. */
        private void next() {
            source++;
            askedSinceMillis = -1;
        }

        private boolean waitedFor(long millis, long nowMillis) {
            return askedSinceMillis >= 0 && nowMillis - askedSinceMillis > millis;
        }
    }

    /** Asks the chunk's present source once. */
    private boolean fetchOne(ChunkSet set, Missing one) {
        List<String> agents = sources.get().of(one.index);
        if (one.source >= agents.size()) {
            return fromOrigin(set, one);
        }
        String agent = agents.get(one.source);
        long now = steadyMillis.getAsLong();
        if (silentUntil.getOrDefault(agent, Long.MIN_VALUE) > now) {
            one.next();
            return false;
        }
        one.askedSinceMillis = one.askedSinceMillis < 0 ? now : one.askedSinceMillis;
        return switch (peers.chunk(agent, set.model(), set.version(), one.index)) {
            case Result.Success<byte[]>(byte[] bytes) -> taken(set, one, agent, bytes);
            case Result.Failure<byte[]>(Fault fault) -> {
                notGiven(set, one, agent, fault);
                yield false;
            }
        };
    }

    private void notGiven(ChunkSet set, Missing one, String agent, Fault fault) {
        long now = steadyMillis.getAsLong();
        boolean goOn = switch (fault.reason()) {
            case NOT_READY -> one.waitedFor(FETCHING_MILLIS, now);
            case NOT_FOUND -> one.waitedFor(UNAWARE_MILLIS, now);
            default -> {
                silentUntil.put(agent, now + PASSED_OVER_MILLIS);
                yield true;
            }
        };
        if (goOn) {
            missed(set, one, agent, fault.toString());
            one.next();
        }
    }

    private boolean fromOrigin(ChunkSet set, Missing one) {
        Optional<String> address = originAddress.get();
        if (address.isEmpty()) {
            one.source = 0;
            return false;
        }
        if (!originTurn.tryAcquire()) {
            return false;
        }
        Result<byte[]> got;
        try {
            got = origin.chunk(address.get(), set.model(), set.version(), one.index);
        } finally {
            originTurn.release();
        }
        if (got instanceof Result.Failure<byte[]>(Fault fault)) {
            missed(set, one, "origin", fault.toString());
            one.source = 0;
        }
        return got instanceof Result.Success<byte[]>(byte[] bytes) && taken(set, one, "origin", bytes);
    }

    private boolean taken(ChunkSet set, Missing one, String from, byte[] bytes) {
        downlink.accept(bytes.length);
        if (set.put(one.index, bytes)) {
            return true;
        }
        missed(set, one, from, "the digest is wrong");
        one.next();
        return false;
    }

    private static void missed(ChunkSet set, Missing one, String from, String why) {
        LOG.info(
                "event=chunk_missed model={} version={} chunk={} from={} why=\"{}\"",
                set.model(),
                set.version(),
                one.index,
                from,
                why);
    }
}
