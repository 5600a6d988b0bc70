package org.micabarrow.bench;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.micabarrow.coordination.weights.Source;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Result;

/** Injects faults into weight transfers: corrupts chunks that agents read and stalls reads from chosen instances. */
final class FaultInjectingWeights {

    private final AtomicInteger chunksRead = new AtomicInteger();
    private final Set<String> stalledInstances = ConcurrentHashMap.newKeySet();
    private volatile int corruptOneIn;

    void corruptOneIn(int count) {
        corruptOneIn = count;
    }

    /** Stalls all reads from an instance, while its process stays alive. */
    void stall(String instance) {
        stalledInstances.add(instance);
    }

    void clear() {
        corruptOneIn = 0;
        stalledInstances.clear();
    }

    /** Wraps a weights client so that its reads are subject to the faults. */
    Weights wrap(Weights weights) {
        return new Weights() {
            @Override
            public Result<Manifest> manifest(String artifact) {
                return weights.manifest(artifact);
            }

            @Override
            public Feed open(Source source, String artifact, int from, int to) {
                return new FaultInjectingFeed(weights.open(source, artifact, from, to), source);
            }
        };
    }

    /** A feed whose reads are subject to the faults. */
    private final class FaultInjectingFeed implements Weights.Feed {

        private final Weights.Feed feed;
        private final Source source;

        private FaultInjectingFeed(Weights.Feed feed, Source source) {
            this.feed = Objects.requireNonNull(feed, "feed is null");
            this.source = source;
        }

        @Override
        public Result<byte[]> next(Weights.Patience patience) {
            if (source instanceof Source.Peer peer
                    && stalledInstances.contains(peer.replica().instance())) {
                return stall(patience.silence());
            }
            return feed.next(patience).map(this::maybeCorrupt);
        }

        private Result<byte[]> stall(Duration timeout) {
            try {
                Thread.sleep(timeout);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return Result.failure(Fault.of(
                    Fault.Step.FETCH, source.toString(), Fault.Reason.STALLED, "link stalled by fault injection"));
        }

        private byte[] maybeCorrupt(byte[] data) {
            if (corruptOneIn > 0 && chunksRead.incrementAndGet() % corruptOneIn == 0) {
                byte[] corrupted = data.clone();
                corrupted[corrupted.length / 2] ^= 1;
                return corrupted;
            }
            return data;
        }

        @Override
        public void close() {
            feed.close();
        }
    }
}
