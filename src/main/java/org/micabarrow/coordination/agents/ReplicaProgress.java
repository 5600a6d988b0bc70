package org.micabarrow.coordination.agents;

import java.util.List;
import java.util.Optional;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.membership.ReplicaView.State;
import org.micabarrow.coordination.weights.Transfer;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Workload;

/** How far each replica has come, from the endpoint's report and the transfers of its weights. */
final class ReplicaProgress {

    private ReplicaProgress() {}

    /**
     * The view of one replica.
     *
     * @param placed the placement it belongs to
     * @param report the endpoint's latest report, empty if it does not answer
     * @param progress how far its transfers have come
     * @param orderFault why the endpoint did not take the latest order
     * @return its state
     */
    static ReplicaView of(
            ActivePlacement placed,
            Optional<Endpoint.Report> report,
            List<Transfer.Progress> progress,
            Optional<Fault> orderFault) {
        Workload workload = placed.placement().workload();
        List<String> loaded = report.map(Endpoint.Report::loaded).orElse(List.of());
        int total = workload.artifacts().stream().mapToInt(Artifact::chunks).sum();
        boolean ready = report.isPresent() && (workload.artifacts().isEmpty() || loaded.contains(workload.version()));
        int chunks = ready
                ? total
                : progress.stream().mapToInt(Transfer.Progress::chunks).sum();
        Optional<String> serving = ready
                ? Optional.of(workload.version())
                : placed.previous().map(Workload::version).filter(loaded::contains);
        Optional<Fault> fault = ready
                ? Optional.empty()
                : orderFault.or(() ->
                        progress.stream().flatMap(one -> one.fault().stream()).findFirst());
        State reached = ready ? State.READY : reached(chunks, total);
        return new ReplicaView(placed.placement().name(), workload.version(), reached, chunks, total, serving, fault);
    }

    private static State reached(int chunks, int total) {
        if (chunks == 0) {
            return State.ABSENT;
        }
        return chunks < total ? State.RECEIVING : State.VERIFIED;
    }
}
