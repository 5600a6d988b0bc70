package org.micabarrow.weights;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out when the origin delivers a version again while another one is being fetched. Without it, an agent would
 * continue the older version for as long as its chunks arrive, which they do once the origin is back; other agents
 * would fetch the newest, and neither version would become complete anywhere. Thread-safe.
 */
final class OriginProbe implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(OriginProbe.class);

    /**
     * The pause between two probes, in milliseconds: an unavailable origin refuses them at once, and the chunks of the
     * older version that are requested before a successful one are wasted.
     */
    private static final long PAUSE_MILLIS = 200;

    private final AtomicBoolean delivers = new AtomicBoolean();
    private final AtomicBoolean closed = new AtomicBoolean();

    private OriginProbe() {}

    /**
     * Starts to probe until a probe succeeds or this is closed.
     *
     * @param version the version, for the log
     * @param probe requests something of the version, given the number of the attempt from 1, and returns whether it was
     *     delivered
     */
    static OriginProbe start(long version, IntPredicate probe) {
        OriginProbe started = new OriginProbe();
        Thread.ofPlatform().name("origin-probe").daemon().start(() -> started.run(version, probe));
        return started;
    }

    /** A probe that never finds anything, for a version that is not unavailable. */
    static OriginProbe none() {
        return new OriginProbe();
    }

    private void run(long version, IntPredicate probe) {
        try {
            for (int attempt = 1; !closed.get(); attempt++) {
                if (probe.test(attempt)) {
                    delivers.set(true);
                    LOG.info("event=origin_delivers version={}", version);
                    return;
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            LOG.info("event=origin_probe_stopped version={}", version);
        }
    }

    /** Whether the origin has delivered the version since the start. */
    boolean delivers() {
        return delivers.get();
    }

    @Override
    public void close() {
        closed.set(true);
    }
}
