package org.micabarrow.coordination.calls;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Calls from an entry to agents. */
public interface AgentCalls {

    /**
     * Sends a request.
     *
     * @param to the agent
     * @param request the request
     * @param listener receives the answer, always with an end
     * @return cancels the request when run
     */
    Runnable handle(Replica to, AgentRequest request, AnswerListener listener);

    /**
     * Asks an agent to refuse a claimed key for good unless it has started.
     *
     * @param to the agent
     * @param claim the claim that holds the key
     * @return what became of the key, a failure if the agent does not answer, empty if its process is another one
     */
    CompletableFuture<Result<Optional<Ledger.Settled>>> settle(Replica to, Claim claim);
}
