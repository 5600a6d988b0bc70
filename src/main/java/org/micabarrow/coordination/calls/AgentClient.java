package org.micabarrow.coordination.calls;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Calls from an entry to agents. */
public interface AgentClient {

    /**
     * Sends a request.
     *
     * @param to the replica of the agent
     * @param request the request
     * @param listener receives the response, always including its end
     * @return cancels the request when run
     */
    Runnable handle(Replica to, AgentRequest request, ResponseListener listener);

    /**
     * Requests that an agent refuse a claimed key permanently unless it has started.
     *
     * @param to the replica of the agent
     * @param claim the claim that holds the key
     * @return the state of the key; a failure if the agent does not respond; empty if the process that the claim names has
     *     been replaced
     */
    CompletableFuture<Result<Optional<Ledger.Settlement>>> settle(Replica to, Claim claim);
}
