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

/** Works out plans for operators' intents and proposes them on the log. */
final class PlanProposals {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.plan");

    private final OperatorApi.Parts parts;
    private final Supplier<String> ids;

    PlanProposals(OperatorApi.Parts parts, Supplier<String> ids) {
        this.parts = parts;
        this.ids = ids;
    }

    /**
     * Works out the plan for an intent and proposes it on the log, where any entry can confirm it.
     *
     * @param file the intent's file name, for errors
     * @param bytes the intent
     * @return the plan
     */
    Result<OperatorMessages.Planned> plan(String file, byte[] bytes) {
        return IntentReader.read(file, bytes)
                .flatMap(intent -> parts.list()
                        .read()
                        .flatMap(instances -> artifacts(intent)
                                .flatMap(artifacts -> new Planner(
                                                parts.links(),
                                                parts.configuration().current(),
                                                instances,
                                                artifacts)
                                        .plan(intent))
                                .flatMap(this::propose)));
    }

    private Result<Map<String, Artifact>> artifacts(Intent intent) {
        Map<String, Artifact> artifacts = new HashMap<>();
        for (String digest : intent.artifactDigests()) {
            Result<Manifest> manifest = parts.weights().manifest(digest);
            if (manifest instanceof Result.Failure<Manifest>(Fault fault)) {
                if (fault.reason() != Reason.NOT_FOUND) {
                    return Result.failure(fault);
                }
            }
            manifest.toOptional().ifPresent(found -> artifacts.put(digest, found.artifact()));
        }
        return Result.success(artifacts);
    }

    private Result<OperatorMessages.Planned> propose(Plan plan) {
        LOG.info(
                "plan id={} basis={} placements={}",
                plan.id(),
                plan.basis(),
                plan.placements().size());
        return parts.writer()
                .write(new Record.PlanProposed(ids.get(), plan), OperatorApi.WRITE_WITHIN)
                .map(seen -> new OperatorMessages.Planned(plan.id(), plan));
    }
}
