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

/** Corrupts some of the chunks that agents read, and lets the links of some instances stall. */
final class FaultyWeights {

    private final AtomicInteger chunks = new AtomicInteger();
    private final Set<String> stalled = ConcurrentHashMap.newKeySet();
    private volatile int corruptOneIn;

    void corruptOneIn(int count) {
        corruptOneIn = count;
    }

    /** Nothing more comes from an instance, though it stays alive. */
    void stall(String instance) {
        stalled.add(instance);
    }

    void none() {
        corruptOneIn = 0;
        stalled.clear();
    }

    /** Puts the faults between an agent and its sources. */
    Weights around(Weights weights) {
        return new Weights() {
            @Override
            public Result<Manifest> manifest(String artifact) {
                return weights.manifest(artifact);
            }

            @Override
            public Feed open(Source source, String artifact, int from, int to) {
                return new Tampered(weights.open(source, artifact, from, to), source);
            }
        };
    }

    /** A feed with faults. */
    private final class Tampered implements Weights.Feed {

        private final Weights.Feed feed;
        private final Source source;

        private Tampered(Weights.Feed feed, Source source) {
            this.feed = Objects.requireNonNull(feed, "feed is null");
            this.source = source;
        }

        @Override
        public Result<byte[]> next(Weights.Patience patience) {
            if (source instanceof Source.Peer peer
                    && stalled.contains(peer.replica().instance())) {
                return stall(patience.silence());
            }
            return feed.next(patience).map(this::perhapsCorrupted);
        }

        private Result<byte[]> stall(Duration patience) {
            try {
                Thread.sleep(patience);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return Result.failure(
                    Fault.of(Fault.Step.FETCH, source.toString(), Fault.Reason.STALLED, "the link stalls"));
        }

        private byte[] perhapsCorrupted(byte[] data) {
            if (corruptOneIn > 0 && chunks.incrementAndGet() % corruptOneIn == 0) {
                byte[] bad = data.clone();
                bad[bad.length / 2] ^= 1;
                return bad;
            }
            return data;
        }

        @Override
        public void close() {
            feed.close();
        }
    }
}
