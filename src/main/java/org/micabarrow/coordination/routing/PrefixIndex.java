package org.micabarrow.coordination.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Index of the instances that probably hold prompt prefixes in their caches, learned from this entry's own routing and
 * from the engines' cache events. Both are only hints, because events arrive late and with gaps; the weight of a hint
 * decays with its age.
 *
 * <p>Thread-safe.
 *
 * <pre>{@code
 * List<Long> prefix = PrefixIndex.blocks(prompt);
 * index.recordCached(prefix, "hall-a-1", now);
 * }</pre>
 */
public final class PrefixIndex {

    /** The size of a prompt block, in bytes of UTF-8. */
    private static final int BLOCK_BYTES = 256;

    /** Maximum number of blocks per prompt, which bounds the CPU time and memory that a long prompt costs. */
    private static final int MAX_BLOCKS = 32;

    /** The estimated time that a cached block saves, in milliseconds. */
    private static final double SAVED_MILLIS_PER_BLOCK = 12;

    /** The time after which a hint has half its weight, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    private final int capacity;
    private final Map<Key, Long> lastSeenMillis;

    /**
     * Creates an empty index.
     *
     * @param capacity maximum number of hints; the least recently used ones are evicted first
     */
    public PrefixIndex(int capacity) {
        this.capacity = capacity;
        this.lastSeenMillis = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
                return size() > PrefixIndex.this.capacity;
            }
        };
    }

    /** A prompt block at an instance. */
    private record Key(long block, String instance) {}

    /**
     * Splits a prompt into blocks. The identifier of a block covers the whole prompt up to the end of that block.
     *
     * @param prompt the prompt
     * @return an identifier for each complete block
     */
    public static List<Long> blocks(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        List<Long> blocks = new ArrayList<>();
        CRC32C checksum = new CRC32C();
        for (int offset = 0;
                offset + BLOCK_BYTES <= bytes.length && blocks.size() < MAX_BLOCKS;
                offset += BLOCK_BYTES) {
            checksum.update(bytes, offset, BLOCK_BYTES);
            blocks.add(checksum.getValue() << 8 | blocks.size());
        }
        return blocks;
    }

    /**
     * Records that an instance has the blocks in its cache.
     *
     * @param blocks the blocks
     * @param instance the instance
     * @param nowMillis the current time
     */
    public synchronized void recordCached(List<Long> blocks, String instance, long nowMillis) {
        blocks.forEach(block -> lastSeenMillis.put(new Key(block, instance), nowMillis));
    }

    /**
     * Records that an instance no longer has the blocks in its cache.
     *
     * @param blocks the blocks
     * @param instance the instance
     */
    public synchronized void recordEvicted(List<Long> blocks, String instance) {
        blocks.forEach(block -> lastSeenMillis.remove(new Key(block, instance)));
    }

    /**
     * Estimates the time that an instance saves because of its cache. Counting stops at the first block that is not
     * cached.
     *
     * @param blocks the prompt's blocks
     * @param instance the instance
     * @param nowMillis the current time
     * @return the estimate in milliseconds
     */
    public synchronized double savedMillis(List<Long> blocks, String instance, long nowMillis) {
        double saved = 0;
        for (Long block : blocks) {
            Long seenMillis = lastSeenMillis.get(new Key(block, instance));
            if (seenMillis == null) {
                break;
            }
            saved += SAVED_MILLIS_PER_BLOCK * Math.pow(0.5, (nowMillis - seenMillis) / HALF_LIFE_MILLIS);
        }
        return saved;
    }
}
