package org.micabarrow.coordination.weights;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Objects;

/** Counts what moves where: metrics {@code weights.<source>.bytes}, {@code .corrupted} and {@code .abandoned}. */
public final class TransferMetrics {

    private final MetricRegistry registry;

    /**
     * Makes the counters.
     *
     * @param registry holds them
     */
    public TransferMetrics(MetricRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
    }

    /**
     * Counts bytes that arrived.
     *
     * @param source where from
     * @param bytes how many
     */
    public void received(Source source, int bytes) {
        registry.counter(name(source, "bytes")).inc(bytes);
    }

    /**
     * Counts a chunk that did not have its digest.
     *
     * @param source where from
     */
    public void corrupted(Source source) {
        registry.counter(name(source, "corrupted")).inc();
    }

    /**
     * Counts a change to another source.
     *
     * @param source the one that was left
     */
    public void abandoned(Source source) {
        registry.counter(name(source, "abandoned")).inc();
    }

    private static String name(Source source, String what) {
        return MetricRegistry.name("weights", source.getClass().getSimpleName().toLowerCase(Locale.ROOT), what);
    }
}
