package org.micabarrow.transport.operators;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;
import org.micabarrow.state.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Confirms plans on the log and waits until they are in force on every instance. */
final class PlanConfirmations {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.plan");

    /** The pause before processes that are behind are asked again, in milliseconds. */
    private static final long ASK_AGAIN_MILLIS = 50;

    private final OperatorApi.Parts parts;
    private final Supplier<String> ids;
    private final InstantSource clock;

    PlanConfirmations(OperatorApi.Parts parts, Supplier<String> ids, InstantSource clock) {
        this.parts = parts;
        this.ids = ids;
        this.clock = clock;
    }

    /**
     * Confirms a plan and waits until it is in force.
     *
     * @param planId the plan
     * @param operator who confirms it
     * @return what became of it
     */
    Result<OperatorMessages.Confirmed> confirm(String planId, String operator) {
        long basis = parts.configuration().generation();
        Record record = new Record.PlanConfirmed(ids.get(), basis, planId, operator);
        return parts.writer().write(record, OperatorApi.WRITE_WITHIN).flatMap(seen -> {
            LOG.info(
                    "confirm plan={} operator={} offset={} verdict={}",
                    planId,
                    operator,
                    seen.offset(),
                    seen.verdict());
            return confirmed(planId, seen);
        });
    }

    private Result<OperatorMessages.Confirmed> confirmed(String planId, FoldedState.Seen seen) {
        return switch (seen.verdict()) {
            case Verdict.Accepted ignored -> Result.success(awaitInForce(planId, seen.offset()));
            case Verdict.Duplicate ignored -> Result.success(awaitInForce(planId, seen.offset()));
            case Verdict.Superseded(String key, long at) ->
                conflict(planId, "superseded: " + key + " was changed at offset " + at + "; make a new plan");
            case Verdict.Refused(String reason) -> conflict(planId, reason);
        };
    }

    private static <T> Result<T> conflict(String planId, String why) {
        return Result.failure(Fault.of(Step.CONFIRM, "plan " + planId, Reason.CONFLICT, why));
    }

    private OperatorMessages.Confirmed awaitInForce(String planId, long offset) {
        List<Instance> instances = parts.table().instances();
        Map<String, String> missing = new TreeMap<>();
        instances.forEach(instance -> missing.put(instance.id(), instance.address()));
        long end = clock.millis() + OperatorApi.IN_FORCE_WITHIN.toMillis();
        while (!missing.isEmpty() && clock.millis() < end) {
            missing.keySet().removeAll(reached(missing, offset));
            pause(missing.isEmpty());
        }
        return new OperatorMessages.Confirmed(
                planId,
                true,
                offset,
                "",
                instances.size() - missing.size(),
                instances.size(),
                List.copyOf(missing.keySet()));
    }

    private Set<String> reached(Map<String, String> asked, long offset) {
        Map<String, CompletableFuture<Result<StatusReply>>> replies = new HashMap<>();
        asked.forEach((id, address) -> replies.put(
                id, parts.peers().status(address, parts.configuration().generation())));
        Map<String, Boolean> reached = new HashMap<>();
        replies.forEach((id, reply) -> {
            boolean there = reply.join()
                    .toOptional()
                    .filter(status -> status.getGeneration() >= offset)
                    .isPresent();
            if (there) {
                reached.put(id, true);
            }
        });
        return reached.keySet();
    }

    private static void pause(boolean done) {
        if (done) {
            return;
        }
        try {
            Thread.sleep(ASK_AGAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
