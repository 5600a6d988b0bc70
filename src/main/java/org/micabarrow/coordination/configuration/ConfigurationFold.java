package org.micabarrow.coordination.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Record;
import org.micabarrow.state.Reducer;
import org.micabarrow.state.Result;
import org.micabarrow.state.Verdict;

/**
 * Folds pages of the configuration stream, and refuses what it cannot fold: a gap, an unknown schema, a checkpoint that
 * differs. It never skips.
 *
 * <pre>{@code
 * Result<ConfigurationFold.Step> step = ConfigurationFold.fold(state, page);
 * }</pre>
 */
public final class ConfigurationFold {

    private static final String PEER = "log/" + PlatformLog.CONFIGURATION;

    private ConfigurationFold() {}

    /**
     * What folding a page gave.
     *
     * @param state the state after it
     * @param verdicts what was made of each record
     */
    public record Step(FoldedState state, List<Judged> verdicts) {

        /** Copies the list. */
        public Step {
            verdicts = List.copyOf(verdicts);
        }
    }

    /**
     * A record with its verdict.
     *
     * @param offset the record's offset
     * @param atMillis when the log took it
     * @param record the record
     * @param verdict the verdict
     */
    public record Judged(long offset, long atMillis, Record record, Verdict verdict) {}

    /**
     * Folds a page onto a state. Where the page begins after the state, the newest usable checkpoint in the page takes
     * the state's place.
     *
     * @param state the state so far
     * @param page the page
     * @return the state after the page, or a fault that names the offset at which it could not go on
     */
    public static Result<Step> fold(FoldedState state, PlatformLog.Page page) {
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(page, "page is null");
        List<Parsed> parsed = new ArrayList<>();
        for (PlatformLog.Entry entry : page.records()) {
            if (entry.offset() <= state.offset()) {
                continue;
            }
            Result<Parsed> one = parse(entry);
            if (one instanceof Result.Failure<Parsed> failure) {
                return Result.failure(failure.fault());
            }
            one.toOptional().ifPresent(parsed::add);
        }
        return begin(state, parsed).flatMap(start -> foldAll(start, parsed));
    }

    private static Result<FoldedState> begin(FoldedState state, List<Parsed> parsed) {
        if (parsed.isEmpty() || parsed.getFirst().offset() == state.offset() + 1) {
            return Result.success(state);
        }
        long first = parsed.getFirst().offset();
        for (Parsed one : parsed) {
            if (one.record() instanceof Record.Checkpoint checkpoint
                    && checkpoint.state().offset() >= first - 1
                    && checkpoint.state().offset() > state.offset()) {
                return checkpoint.digest().equals(checkpoint.state().digest())
                        ? Result.success(checkpoint.state())
                        : stop(one.offset(), "the checkpoint does not have the digest it states");
            }
        }
        return stop(state.offset() + 1, "the log begins at offset " + first + " and holds no checkpoint to go on from");
    }

    private static Result<Step> foldAll(FoldedState start, List<Parsed> parsed) {
        FoldedState state = start;
        List<Judged> verdicts = new ArrayList<>();
        for (Parsed one : parsed) {
            if (one.offset() <= start.offset()) {
                continue;
            }
            if (one.offset() != state.offset() + 1) {
                return stop(state.offset() + 1, "the record is missing; the next is " + one.offset());
            }
            Reducer.Outcome outcome = Reducer.fold(state, one.offset(), one.record());
            if (one.record() instanceof Record.Checkpoint && outcome.verdict() instanceof Verdict.Refused refused) {
                return stop(one.offset(), refused.reason());
            }
            verdicts.add(new Judged(one.offset(), one.atMillis(), one.record(), outcome.verdict()));
            state = outcome.state();
        }
        return Result.success(new Step(state, verdicts));
    }

    private static Result<Parsed> parse(PlatformLog.Entry entry) {
        try {
            int schema =
                    CanonicalJson.mapper().readTree(entry.body()).path("schema").asInt();
            if (schema != Record.SCHEMA) {
                return stop(entry.offset(), "schema " + schema + " is not known; this program knows " + Record.SCHEMA);
            }
            Record.Envelope envelope = CanonicalJson.read(entry.body(), Record.Envelope.class);
            return Result.success(new Parsed(entry.offset(), entry.atMillis(), envelope.record()));
        } catch (IOException e) {
            return stop(entry.offset(), "the record cannot be read: " + e.getMessage());
        }
    }

    private static <T> Result<T> stop(long offset, String why) {
        return Result.failure(Fault.of(Fault.Step.LOG, PEER, Reason.CORRUPT, "offset " + offset + ": " + why));
    }

    /** A record that has been read but not folded. */
    private record Parsed(long offset, long atMillis, Record record) {}
}
