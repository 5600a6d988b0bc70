package org.micabarrow.coordination.configuration;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends records and waits for their verdict. A lost answer is neither an error nor a success: the writer reads on for
 * the record's id and appends again under the same id, which counts once.
 *
 * <pre>{@code
 * Result<FoldedState.RecordVerdict> seen = writer.write(record, Duration.ofSeconds(9));
 * }</pre>
 */
public final class RecordWriter {

    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /**
     * How long a record that was appended is waited for before it is appended again under the same id.
     */
    private static final Duration POLL = Duration.ofMillis(500);

    private final PlatformLog log;
    private final Configuration configuration;
    private final InstantSource clock;

    /**
     * Makes a writer.
     *
     * @param log the platform's log
     * @param configuration sees what the log took
     * @param clock measures the time given
     */
    public RecordWriter(PlatformLog log, Configuration configuration, InstantSource clock) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Appends a record and waits until this process has folded it.
     *
     * @param record the record
     * @param within how long to try
     * @return where and how it was judged; a failure of reason {@code UNKNOWN} means that it may still take effect
     */
    public Result<FoldedState.RecordVerdict> write(Record record, Duration within) {
        Objects.requireNonNull(record, "record is null");
        byte[] body = CanonicalJson.write(new Record.Envelope(Record.SCHEMA, record));
        long end = clock.millis() + within.toMillis();
        Fault last = unknown(record, "not tried");
        while (clock.millis() < end) {
            Result<Long> appended = log.append(PlatformLog.CONFIGURATION, body);
            long target = appended.toOptional().orElse(configuration.generation() + 1);
            awaitGeneration(
                    target,
                    Math.min(POLL.toMillis(), end - clock.millis()),
                    appended.cause().isPresent());
            FoldedState.RecordVerdict seen = configuration.current().seen().get(record.id());
            if (seen != null) {
                return Result.success(seen);
            }
            last = unknown(record, appended.cause().map(Fault::toString).orElse("not yet read back"));
            LOG.warn("record {} not seen yet: {}", record.id(), last);
        }
        return Result.failure(last);
    }

    private void awaitGeneration(long target, long millis, boolean maybeLost) {
        try {
            configuration.reach(target, Duration.ofMillis(Math.max(1, millis))).join();
        } catch (CompletionException e) {
            LOG.debug("generation {} not reached, answer lost: {}", target, maybeLost);
        }
    }

    private static Fault unknown(Record record, String why) {
        return Fault.of(
                Fault.Step.LOG,
                "log/" + PlatformLog.CONFIGURATION,
                Reason.UNKNOWN,
                "whether record " + record.id() + " was taken is not known: " + why);
    }
}
