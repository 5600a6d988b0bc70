package org.micabarrow.coordination.weights;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/**
 * How many bytes a transfer may still take from the origin: for the head of a chain one copy from the start, and whatever
 * the budget grants once that is used up.
 */
final class OriginAllowance {

    /**
     * How much more than one copy the head of a chain may draw without asking, for chunks that came corrupted. One
     * corrupted chunk in a hundred took 1.01 copies (docs/CAPACITY.md).
     */
    static final double FEED_SLACK = 1.015;

    private final OriginBudget budget;
    private long bytes;

    private OriginAllowance(OriginBudget budget, long bytes) {
        this.budget = Objects.requireNonNull(budget, "budget is null");
        this.bytes = bytes;
    }

    /** The allowance at the start of a transfer. */
    static OriginAllowance of(TransferTask task, OriginBudget budget) {
        return new OriginAllowance(budget, task.fed() ? (long) (task.bytes() * FEED_SLACK) : 0);
    }

    /**
     * Asks the budget if nothing is left.
     *
     * @param missing the bytes that the transfer still needs
     * @return why nothing may be taken, empty if something may
     */
    Optional<Fault> ask(long missing) {
        if (bytes > 0) {
            return Optional.empty();
        }
        Result<Long> granted = budget.draw(missing);
        bytes += granted.toOptional().orElse(0L);
        return granted.cause();
    }

    /** Counts what has come from the origin. */
    void use(long received) {
        bytes -= received;
    }
}
