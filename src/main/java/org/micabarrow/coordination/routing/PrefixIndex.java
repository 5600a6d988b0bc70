package org.micabarrow.coordination.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Where the beginnings of prompts have been before, learned from this entry's own routing and from the engines' cache
 * events. Both are only hints: events come late and with gaps, so a hint fades with its age.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * List<Long> prefix = PrefixIndex.blocks(prompt);
 * index.seen(prefix, "hall-a-1", now);
 * }</pre>
 */
public final class PrefixIndex {

    /** The length of a block of a prompt, in bytes of UTF-8. */
    private static final int BLOCK_BYTES = 256;

    /** The most blocks of one prompt, which bounds the work and the memory of a long one. */
    private static final int MOST_BLOCKS = 32;

    /** The time that a cached block saves, in milliseconds. */
    private static final double MILLIS_A_BLOCK = 12;

    /** After how long a hint counts for half, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    private final int capacity;
    private final Map<Key, Long> seen;

    /**
     * Makes an empty index.
     *
     * @param capacity how many hints it keeps
     */
    public PrefixIndex(int capacity) {
        this.capacity = capacity;
        this.seen = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
                return size() > PrefixIndex.this.capacity;
            }
        };
    }

    /** A block on an instance. */
    private record Key(long block, String instance) {}

    /**
     * Cuts a prompt into blocks, each known by all that goes before it.
     *
     * @param prompt the prompt
     * @return a number for each whole block
     */
    public static List<Long> blocks(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        List<Long> blocks = new ArrayList<>();
        CRC32C checksum = new CRC32C();
        for (int at = 0; at + BLOCK_BYTES <= bytes.length && blocks.size() < MOST_BLOCKS; at += BLOCK_BYTES) {
            checksum.update(bytes, at, BLOCK_BYTES);
            blocks.add(checksum.getValue() << 8 | blocks.size());
        }
        return blocks;
    }

    /**
     * Notes that an instance has the blocks in its cache.
     *
     * @param blocks the blocks
     * @param instance the instance
     * @param nowMillis the time
     */
    public synchronized void seen(List<Long> blocks, String instance, long nowMillis) {
        blocks.forEach(block -> seen.put(new Key(block, instance), nowMillis));
    }

    /**
     * Notes that an instance no longer has blocks in its cache.
     *
     * @param blocks the blocks
     * @param instance the instance
     */
    public synchronized void evicted(List<Long> blocks, String instance) {
        blocks.forEach(block -> seen.remove(new Key(block, instance)));
    }

    /**
     * The time that an instance is likely to save by its cache.
     *
     * @param blocks the prompt's blocks
     * @param instance the instance
     * @param nowMillis the time
     * @return milliseconds
     */
    public synchronized double savedMillis(List<Long> blocks, String instance, long nowMillis) {
        double saved = 0;
        for (Long block : blocks) {
            Long at = seen.get(new Key(block, instance));
            if (at == null) {
                break;
            }
            saved += MILLIS_A_BLOCK * Math.pow(0.5, (nowMillis - at) / HALF_LIFE_MILLIS);
        }
        return saved;
    }
}
