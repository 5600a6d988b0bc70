package org.micabarrow.memory;

import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How many bytes a process may hold for its clients. */
public final class MemoryLimit {

    private static final Logger LOG = LoggerFactory.getLogger(MemoryLimit.class);

    /**
     * The part of the heap, as a divisor: a body is in memory twice while it is copied out of the receive buffer, and the last
     * third is left to everything else.
     */
    private static final long HEAP_DIVISOR = 3;

    /**
     * The part of the instance's memory, as a divisor: the heap's other contents, code, direct buffers, class data and stacks
     * take most of it.
     */
    private static final long INSTANCE_DIVISOR = 8;

    private static final long BYTES_PER_MEGABYTE = 1_000_000;

    private MemoryLimit() {}

    /**
     * Computes the limit: the smaller of what the heap and the instance leave.
     *
     * @param heapBytes the maximum size of the heap
     * @param instanceMegabytes the memory of the instance; empty if not stated
     * @return bytes
     */
    public static long bytes(long heapBytes, OptionalLong instanceMegabytes) {
        long ofHeap = heapBytes / HEAP_DIVISOR;
        if (instanceMegabytes.isEmpty()) {
            return ofHeap;
        }
        long megabytes = instanceMegabytes.getAsLong();
        if (megabytes <= 0 || megabytes > Long.MAX_VALUE / BYTES_PER_MEGABYTE) {
            LOG.warn("event=setting_ignored name=memoryMegabytes value={} why=\"not the size of a memory\"", megabytes);
            return ofHeap;
        }
        return Math.min(ofHeap, megabytes * BYTES_PER_MEGABYTE / INSTANCE_DIVISOR);
    }
}
