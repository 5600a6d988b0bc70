package org.micabarrow.coordination.agents;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Placement;

/**
 * An agent's own decision on whether a request may start at its endpoint. It rests on the agent's configuration and not
 * on the entry's word.
 *
 * <pre>{@code
 * StartCheck.Decision decision = new StartCheck(identity, cutOffMillis).check(state, silent, view, request);
 * }</pre>
 *
 * @param identity which instance this is
 * @param cutOffMillis after how long without a word of the log the instance counts as cut off
 */
public record StartCheck(Identity identity, long cutOffMillis) {

    /** When a refused request may be tried again. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    /** Checks the parts. */
    public StartCheck {
        Objects.requireNonNull(identity, "identity is null");
    }

    /** What was decided. */
    public sealed interface Decision {

        /**
         * The request may start, on this version.
         *
         * @param version the version that must answer, empty for a service
         */
        record Start(String version) implements Decision {}

        /**
         * The request does not start here.
         *
         * @param outcome what the entry is told
         */
        record Refuse(Outcome.NotRun outcome) implements Decision {}
    }

    /**
     * Decides on a request.
     *
     * @param state the configuration in force here
     * @param silentMillis how long ago the log was last heard
     * @param view what the control thread publishes
     * @param request the request
     * @return whether it may start
     */
    public Decision check(FoldedState state, long silentMillis, AgentView view, AgentRequest request) {
        if (view.leaving()) {
            return refuse(Reason.LEAVING, "the instance is leaving");
        }
        if (state.offset() < request.generation()) {
            return refuse(
                    Reason.BEHIND, "generation " + state.offset() + " is behind the entry's " + request.generation());
        }
        Optional<FoldedState.ActivePlacement> placed = state.activePlacement(request.placement());
        if (placed.isEmpty() || placed.get().replicaOn(identity.instance()).isEmpty()) {
            return refuse(Reason.OUTSIDE_PLACEMENT, "the instance carries no replica of " + request.placement());
        }
        Placement placement = placed.get().placement();
        if (!placement.allows(identity.region(), identity.hall())) {
            return refuse(Reason.OUTSIDE_PLACEMENT, request.placement() + " does not allow " + identity.hall());
        }
        if (!placement.organisations().contains(request.organisation())) {
            return refuse(Reason.OUTSIDE_PLACEMENT, request.placement() + " is not for " + request.organisation());
        }
        if (placement.whenCutOff() == Placement.CutOffPolicy.REFUSE && silentMillis > cutOffMillis) {
            return refuse(Reason.BEHIND, "the log has not been heard for " + silentMillis + " ms");
        }
        return serving(view, request);
    }

    private Decision serving(AgentView view, AgentRequest request) {
        Optional<String> serving =
                Optional.ofNullable(view.replicas().get(request.placement())).flatMap(ReplicaView::serving);
        return serving.<Decision>map(Decision.Start::new)
                .orElseGet(() -> refuse(Reason.NOT_READY, "no version of " + request.placement() + " is ready"));
    }

    private Decision.Refuse refuse(Reason reason, String message) {
        Fault fault = Fault.of(Fault.Step.START, identity.instance(), reason, message);
        return new Decision.Refuse(new Outcome.NotRun(fault, RETRY_AFTER));
    }
}
