package org.micabarrow.weights;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches weight versions from other agents and, for the chunks assigned to this agent, from the origin. */
public final class ChunkFetcher {

    private static final Logger LOG = LoggerFactory.getLogger(ChunkFetcher.class);

    private final Dependencies dependencies;

    /** The time until which each unresponsive agent is skipped, whichever version is fetched. */
    private final Map<String, Long> unresponsiveUntil = new ConcurrentHashMap<>();

    /**
     * The collaborators of a fetcher.
     *
     * @param peers the client for other agents
     * @param origin the client for the origin
     * @param originAddress the address of the origin, if known
     * @param sources the sources of each chunk, given the agents currently known
     * @param downlink waits until the downlink can take the given number of bytes
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public record Dependencies(
            ChunkPeers peers,
            WeightOrigin origin,
            Supplier<Optional<String>> originAddress,
            ChunkSourcesCache sources,
            IntConsumer downlink,
            LongSupplier monotonicMillis) {}

    /**
     * Creates a fetcher.
     *
     * @param dependencies its collaborators
     */
    public ChunkFetcher(Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
    }

    /**
     * Fetches the digests of a version, from the origin or else from any other agent.
     *
     * @param model the model
     * @param version the version
     * @return an empty chunk set of the version; a failure if no source has the digests
     */
    public Result<ChunkSet> createSet(String model, long version) {
        Result<List<String>> result = digestsFromOrigin(model, version);
        for (String agent : dependencies.sources().sameRegionFirst()) {
            if (!(result instanceof Result.Failure<List<String>>(Fault fault))) {
                break;
            }
            LOG.info("event=digests_missed model={} version={} next={} why=\"{}\"", model, version, agent, fault);
            result = dependencies.peers().digests(agent, model, version);
        }
        return result.map(digests -> new ChunkSet(model, version, digests));
    }

    /**
     * Fetches the digests of a version that the origin did not deliver before: from the agent that obtains the first
     * chunk before this one, so that the digests of all agents do not hold up the chunks on the origin's link.
     *
     * @param model the model
     * @param version the version
     * @param direct whether to use the origin in any case, since that agent may have failed
     * @return an empty chunk set of the version; a failure if the source does not have the digests
     */
    Result<ChunkSet> createSetOnReturn(String model, long version, boolean direct) {
        List<String> before = dependencies.sources().apply(1).of(0);
        Result<List<String>> digests = direct || before.isEmpty()
                ? digestsFromOrigin(model, version)
                : dependencies.peers().digests(before.getFirst(), model, version);
        return digests.map(known -> new ChunkSet(model, version, known));
    }

    private Result<List<String>> digestsFromOrigin(String model, long version) {
        Optional<String> from = dependencies.originAddress().get();
        return from.isPresent()
                ? dependencies.origin().digests(from.get(), model, version)
                : Result.failure(
                        Fault.of(Fault.Step.FETCH, "origin", Fault.Reason.NOT_FOUND, "the manifest names no origin"));
    }

    /**
     * Fetches one of the chunks for which this agent leads from the origin, or only the digests if it leads for none.
     *
     * @param set the set to fill
     * @return whether the origin delivered
     */
    boolean originDelivers(ChunkSet set) {
        BitSet own = newSelector(set).chunksWantedFrom(SourceSelector.ORIGIN);
        Optional<String> from = dependencies.originAddress().get();
        if (own.isEmpty() || from.isEmpty()) {
            return digestsFromOrigin(set.model(), set.version()).toOptional().isPresent();
        }
        int index = own.nextSetBit(0);
        return dependencies
                .origin()
                .chunk(from.get(), set.model(), set.version(), index)
                .toOptional()
                .filter(bytes -> set.put(index, bytes))
                .isPresent();
    }

    private SourceSelector newSelector(ChunkSet set) {
        return new SourceSelector(dependencies.sources(), set, unresponsiveUntil, dependencies.monotonicMillis());
    }

    /**
     * Fetches all missing chunks. Returns once the set is complete or the version is no longer wanted.
     *
     * @param set the set to fill
     * @param wanted whether the version is still wanted
     * @throws InterruptedException if the thread is interrupted
     */
    public void fetch(ChunkSet set, BooleanSupplier wanted) throws InterruptedException {
        long startMillis = dependencies.monotonicMillis().getAsLong();
        new FetchRun(dependencies, newSelector(set), set, wanted).run();
        LOG.info(
                "event=fetched model={} version={} chunks={} of={} ms={}",
                set.model(),
                set.version(),
                set.presentCount(),
                set.digests().size(),
                dependencies.monotonicMillis().getAsLong() - startMillis);
    }
}
