package org.micabarrow.transport;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.micabarrow.transport.HostedPeerServer.ChunkSets;
import org.micabarrow.weights.ChunkSet;
import org.xnio.XnioIoThread;

/**
 * Requests for chunks that are still being fetched. All requests of one thread are checked together: while the origin
 * is away, every agent of a region holds a request of every other one. A request is compared with the chunks that are
 * present only when more have arrived. Confined to one I/O thread.
 */
final class HeldChunkRequests {

    /**
     * How often requests are checked, in milliseconds: short compared with the 50 ms that a chunk takes on a link.
     */
    private static final long POLL_MILLIS = 15;

    private static final int NONE_CHECKED = -1;

    private final XnioIoThread thread;
    private final ChunkSets chunkSets;
    private final List<Held> held = new ArrayList<>();
    private boolean scheduled;

    /**
     * Creates an instance that holds no requests.
     *
     * @param thread the thread that it is confined to
     * @param chunkSets finds the chunks held here
     */
    HeldChunkRequests(XnioIoThread thread, ChunkSets chunkSets) {
        this.thread = thread;
        this.chunkSets = chunkSets;
    }

    /**
     * A request for any of some chunks.
     *
     * @param model the model
     * @param version the weight version
     * @param indexes the indexes of the acceptable chunks
     */
    record ChunkRequest(String model, long version, BitSet indexes) {}

    /** Receives the result of a request, once. */
    interface Callback {

        /**
         * Called when a chunk is present.
         *
         * @param index its index
         * @param bytes its content
         */
        void onChunk(int index, byte[] bytes);

        /**
         * Called when none has arrived in time.
         *
         * @param known whether this agent has begun to fetch the version
         */
        void onTimeout(boolean known);
    }

    private static final class Held {

        private final ChunkRequest request;
        private final long deadlineNanos;
        private final Callback callback;
        private int checkedArrivals = NONE_CHECKED;

        private Held(ChunkRequest request, long deadlineNanos, Callback callback) {
            this.request = request;
            this.deadlineNanos = deadlineNanos;
            this.callback = callback;
        }
    }

    /**
     * Completes a request now if one of its chunks is present, and else as soon as one has arrived.
     *
     * @param request the request
     * @param deadlineNanos when to give up, as a value of {@link System#nanoTime}
     * @param callback receives the result on this thread
     */
    void add(ChunkRequest request, long deadlineNanos, Callback callback) {
        Held added = new Held(request, deadlineNanos, callback);
        if (!complete(added)) {
            held.add(added);
            schedule();
        }
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            thread.executeAfter(this::check, POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        scheduled = false;
        // A response that ends may begin the next request on its connection, which may be held too.
        List<Held> checked = List.copyOf(held);
        held.clear();
        checked.stream().filter(one -> !complete(one)).forEach(held::add);
        if (!held.isEmpty()) {
            schedule();
        }
    }

    /** Calls the callback if the result is known. Returns whether it was called. */
    private boolean complete(Held one) {
        Optional<ChunkSet> set = chunkSets.find(one.request.model(), one.request.version());
        OptionalInt index = set.isEmpty() ? OptionalInt.empty() : pick(one, set.get());
        if (index.isPresent()) {
            one.callback.onChunk(
                    index.getAsInt(), set.get().chunk(index.getAsInt()).orElseThrow());
            return true;
        }
        if (System.nanoTime() - one.deadlineNanos > 0) {
            one.callback.onTimeout(set.isPresent());
            return true;
        }
        return false;
    }

    private static OptionalInt pick(Held one, ChunkSet set) {
        int arrivals = set.arrivals();
        if (arrivals == one.checkedArrivals) {
            return OptionalInt.empty();
        }
        one.checkedArrivals = arrivals;
        return set.pickLeastServed(one.request.indexes());
    }
}
