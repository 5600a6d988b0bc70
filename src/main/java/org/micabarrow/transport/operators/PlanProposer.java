package org.micabarrow.transport.operators;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.settings.IntentReader;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Intent;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Plan;
import org.micabarrow.state.Planner;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Computes plans for operators' intents and proposes them on the log. */
final class PlanProposer {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.plan");

    private final OperatorApi.Dependencies dependencies;
    private final Supplier<String> recordIds;

    PlanProposer(OperatorApi.Dependencies dependencies, Supplier<String> recordIds) {
        this.dependencies = dependencies;
        this.recordIds = recordIds;
    }

    /**
     * Computes the plan for an intent and proposes it on the log, where any entry can confirm it.
     *
     * @param file the file name of the intent, for error messages
     * @param bytes the content of the intent
     * @return the plan, or a failure if there is none
     */
    Result<OperatorMessages.PlanResponse> plan(String file, byte[] bytes) {
        return IntentReader.read(file, bytes)
                .flatMap(intent -> dependencies
                        .instanceList()
                        .read()
                        .flatMap(instances -> readArtifacts(intent)
                                .flatMap(artifacts -> new Planner(
                                                dependencies.links(),
                                                dependencies.configuration().current(),
                                                instances,
                                                artifacts)
                                        .plan(intent))
                                .flatMap(this::propose)));
    }

    private Result<Map<String, Artifact>> readArtifacts(Intent intent) {
        Map<String, Artifact> artifacts = new HashMap<>();
        for (String digest : intent.artifactDigests()) {
            Result<Manifest> manifest = dependencies.weights().manifest(digest);
            if (manifest instanceof Result.Failure<Manifest>(Fault fault)) {
                if (fault.reason() != Reason.NOT_FOUND) {
                    return Result.failure(fault);
                }
            }
            manifest.toOptional().ifPresent(found -> artifacts.put(digest, found.artifact()));
        }
        return Result.success(artifacts);
    }

    private Result<OperatorMessages.PlanResponse> propose(Plan plan) {
        LOG.info(
                "plan id={} basis={} placements={}",
                plan.id(),
                plan.basis(),
                plan.placements().size());
        return dependencies
                .writer()
                .write(new Record.PlanProposed(recordIds.get(), plan), OperatorApi.WRITE_TIMEOUT)
                .map(seen -> new OperatorMessages.PlanResponse(plan.id(), plan));
    }
}
