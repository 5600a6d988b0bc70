package org.micabarrow.coordination.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.ManualClock;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

class TransferTest {

    private static final int CHUNKS = 20;
    private static final Source PARENT = new Source.Peer(new Replica("parent", "norte", "norte-a", "parent:1"));
    private static final Source STORE = new Source.Store();
    private static final Source ORIGIN = new Source.Origin();

    private final Manifest manifest = manifest("weights");
    private final Map<Source, FakeSource> sources = new HashMap<>();
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final List<Long> drawn = new CopyOnWriteArrayList<>();
    private long budget;

    private static byte[] content(String name, int index) {
        return (name + index).getBytes(StandardCharsets.UTF_8);
    }

    private static Manifest manifest(String name) {
        List<String> digests = new ArrayList<>();
        long bytes = 0;
        for (int i = 0; i < CHUNKS; i++) {
            digests.add(Digest.of(content(name, i)));
            bytes += content(name, i).length;
        }
        return new Manifest(name, bytes, 9, digests);
    }

    /** Gives the chunks of some weights, with faults at certain places. */
    private static final class FakeSource {
        private final String name;
        private final Map<Integer, Integer> corruptTimes = new HashMap<>();
        private int failsAt = Integer.MAX_VALUE;
        private Reason failure = Reason.UNREACHABLE;
        private int given;
        private Runnable whenGiven = () -> {};

        private FakeSource(String name) {
            this.name = name;
        }

        private Result<byte[]> chunk(int index) {
            if (index >= failsAt) {
                return Result.failure(Fault.of(Step.FETCH, "fake", failure, "fails"));
            }
            given++;
            whenGiven.run();
            byte[] data = content(name, index);
            if (corruptTimes.merge(index, -1, Integer::sum) >= 0) {
                data[0] ^= 1;
            }
            return Result.success(data);
        }
    }

    private FakeSource source(Source source) {
        return sources.computeIfAbsent(source, key -> new FakeSource("weights"));
    }

    private Weights weights() {
        return new Weights() {
            @Override
            public Result<Manifest> manifest(String artifact) {
                return Result.success(manifest);
            }

            @Override
            public Feed open(Source from, String artifact, int first, int to) {
                return new Feed() {
                    private int next = first;

                    @Override
                    public Result<byte[]> next(Patience patience) {
                        return source(from).chunk(next++);
                    }

                    @Override
                    public void close() {
                        // Nothing is open.
                    }
                };
            }
        };
    }

    private Endpoint endpoint() {
        return new Endpoint() {
            @Override
            public Result<Report> report() {
                return Result.success(new Report(List.of(), 0, 0, 1));
            }

            @Override
            public Result<Integer> stage(String artifact, int index, byte[] data) {
                assertEquals(staged.size(), index, "chunks are staged in order and once");
                staged.put(index, data);
                return Result.success(staged.size());
            }

            @Override
            public Result<Boolean> order(Order order) {
                return Result.success(true);
            }
        };
    }

    private Transfer run(boolean fed, Source... order) {
        return run(InstantSource.system(), fed, order);
    }

    private Transfer run(InstantSource clock, boolean fed, Source... order) {
        TransferTask task = new TransferTask(
                manifest.version(),
                manifest.bytes(),
                List.of(order),
                List.of(order),
                fed,
                Optional.empty(),
                1000,
                Duration.ofMillis(20));
        Transfer transfer = new Transfer(
                task,
                weights(),
                endpoint(),
                bytes -> {
                    drawn.add(bytes);
                    return bytes <= budget
                            ? Result.success(bytes)
                            : Result.failure(Fault.of(Step.FETCH, "origin", Reason.OVERLOADED, "no budget"));
                },
                new TransferMetrics(metrics),
                clock);
        transfer.run();
        return transfer;
    }

    private void assertWhole(Transfer transfer) {
        assertTrue(transfer.progress().complete());
        for (int i = 0; i < CHUNKS; i++) {
            assertTrue(manifest.matches(i, staged.get(i)), "chunk " + i);
        }
    }

    @Test
    void shouldStageOnlyChunksWithTheirDigestWhenSourceCorruptsSome() {
        source(PARENT).corruptTimes.putAll(Map.of(0, 1, 7, 1, 19, 1));
        assertWhole(run(false, PARENT, STORE));
        assertEquals(0, source(STORE).given, "one bad chunk is asked for again from the same source");
        assertEquals(3, metrics.counter("weights.peer.corrupted").getCount());
    }

    @Test
    void shouldGoToNextSourceWhenOneCorruptsTheSameChunkAgain() {
        source(PARENT).corruptTimes.put(7, 1000);
        assertWhole(run(false, PARENT, STORE));
        assertTrue(source(STORE).given > 0);
    }

    @Test
    void shouldNeverMixTwoVersions() {
        sources.put(PARENT, new FakeSource("other weights"));
        assertWhole(run(false, PARENT, STORE));
        assertEquals(CHUNKS, source(STORE).given);
    }

    @Test
    void shouldGoOnFromWhereItStandsWhenParentDies() {
        source(PARENT).failsAt = 12;
        assertWhole(run(false, PARENT, STORE));
        assertEquals(12, source(PARENT).given);
        assertEquals(CHUNKS - 12, source(STORE).given);
    }

    @Test
    void shouldLeaveStalledParent() {
        source(PARENT).failsAt = 3;
        source(PARENT).failure = Reason.STALLED;
        assertWhole(run(false, PARENT, STORE));
    }

    @Test
    void shouldGoBackToBetterSourceWhenItHasRecovered() {
        source(PARENT).failsAt = 2;
        ManualClock clock = new ManualClock();
        source(STORE).whenGiven = () -> {
            source(PARENT).failsAt = Integer.MAX_VALUE;
            clock.advance(100);
        };
        assertWhole(run(clock, false, PARENT, STORE));
        assertTrue(source(PARENT).given > 10, "given by the parent: " + source(PARENT).given);
    }

    // -- the origin's budget

    @Test
    void shouldDrawFromOriginWithoutAskingWhenPlanFeedsIt() {
        assertWhole(run(true, ORIGIN));
        assertTrue(drawn.isEmpty());
    }

    @Test
    void shouldAskForMissingBytesOnlyWhenOriginIsLastResort() {
        source(PARENT).failsAt = 12;
        source(STORE).failsAt = 0;
        budget = Long.MAX_VALUE;
        assertWhole(run(false, PARENT, STORE, ORIGIN));
        assertEquals(1, drawn.size());
        assertTrue(drawn.getFirst() < manifest.bytes());
        assertEquals(CHUNKS - 12, source(ORIGIN).given);
    }

    @Test
    void shouldDrawNothingWhenBudgetIsRefused() {
        source(PARENT).failsAt = 12;
        source(STORE).failsAt = 14;
        source(ORIGIN);
        Thread transfer = new Thread(() -> run(false, PARENT, STORE, ORIGIN));
        transfer.start();
        Await.until("a question for bytes", () -> !drawn.isEmpty());
        transfer.interrupt();
        assertEquals(0, source(ORIGIN).given);
    }
}
