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

/** Confirms plans on the log and waits until they are active on every instance. */
final class PlanConfirmer {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.plan");

    /** The pause before processes that have not reached the configuration are polled again, in milliseconds. */
    private static final long POLL_MILLIS = 50;

    private final OperatorApi.Dependencies dependencies;
    private final Supplier<String> recordIds;
    private final InstantSource clock;

    PlanConfirmer(OperatorApi.Dependencies dependencies, Supplier<String> recordIds, InstantSource clock) {
        this.dependencies = dependencies;
        this.recordIds = recordIds;
        this.clock = clock;
    }

    /**
     * Confirms a plan and waits until it is active on every instance, or until a timeout.
     *
     * @param planId the id of the plan
     * @param operator the name of the operator who confirms it
     * @return where the plan is active, or why it was not accepted
     */
    Result<OperatorMessages.ConfirmResponse> confirm(String planId, String operator) {
        long basis = dependencies.configuration().generation();
        Record record = new Record.PlanConfirmed(recordIds.get(), basis, planId, operator);
        return dependencies.writer().write(record, OperatorApi.WRITE_TIMEOUT).flatMap(folded -> {
            LOG.info(
                    "confirm plan={} operator={} offset={} verdict={}",
                    planId,
                    operator,
                    folded.offset(),
                    folded.verdict());
            return resultOf(planId, folded);
        });
    }

    private Result<OperatorMessages.ConfirmResponse> resultOf(String planId, FoldedState.RecordVerdict folded) {
        return switch (folded.verdict()) {
            case Verdict.Accepted ignored -> Result.success(awaitActive(planId, folded.offset()));
            case Verdict.Duplicate ignored -> Result.success(awaitActive(planId, folded.offset()));
            case Verdict.Superseded(String key, long at) ->
                conflict(planId, "superseded: " + key + " was changed at offset " + at + "; make a new plan");
            case Verdict.Refused(String reason) -> conflict(planId, reason);
        };
    }

    private static <T> Result<T> conflict(String planId, String message) {
        return Result.failure(Fault.of(Step.CONFIRM, "plan " + planId, Reason.CONFLICT, message));
    }

    private OperatorMessages.ConfirmResponse awaitActive(String planId, long offset) {
        List<Instance> instances = dependencies.agentTable().instances();
        Map<String, String> pending = new TreeMap<>();
        instances.forEach(instance -> pending.put(instance.id(), instance.address()));
        long deadline = clock.millis() + OperatorApi.ACTIVATION_TIMEOUT.toMillis();
        while (!pending.isEmpty() && clock.millis() < deadline) {
            pending.keySet().removeAll(findCaughtUp(pending, offset));
            pauseUnless(pending.isEmpty());
        }
        return new OperatorMessages.ConfirmResponse(
                planId,
                true,
                offset,
                "",
                instances.size() - pending.size(),
                instances.size(),
                List.copyOf(pending.keySet()));
    }

    private Set<String> findCaughtUp(Map<String, String> pending, long offset) {
        Map<String, CompletableFuture<Result<StatusReply>>> replies = new HashMap<>();
        pending.forEach((id, address) -> replies.put(
                id,
                dependencies
                        .peers()
                        .status(address, dependencies.configuration().generation())));
        Map<String, Boolean> caughtUp = new HashMap<>();
        replies.forEach((id, reply) -> {
            boolean active = reply.join()
                    .toOptional()
                    .filter(status -> status.getGeneration() >= offset)
                    .isPresent();
            if (active) {
                caughtUp.put(id, true);
            }
        });
        return caughtUp.keySet();
    }

    private static void pauseUnless(boolean done) {
        if (done) {
            return;
        }
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
