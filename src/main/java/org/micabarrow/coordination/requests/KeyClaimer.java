package org.micabarrow.coordination.requests;

import java.time.Duration;
import java.util.Optional;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.ClaimResult;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims the idempotency key of a request that must not be repeated. If the key is claimed already, determines the
 * outcome of the attempt that holds it: continues if that attempt was refused permanently, returns the stored response
 * if it ran to the end, and otherwise ends with an unknown outcome.
 */
final class KeyClaimer {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    /** The age below which the attempt of a claim counts as still being sent, in milliseconds. */
    private static final long RECENT_CLAIM_MILLIS = 1_000;

    /** The delay after which a request whose key could not be claimed may be retried. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final RequestFlow flow;
    private final RequestFlow.Components components;
    private final CallerRequest request;
    private final ResponseListener sink;
    private final Callback callback;

    KeyClaimer(
            RequestFlow flow,
            RequestFlow.Components components,
            CallerRequest request,
            ResponseListener sink,
            Callback callback) {
        this.flow = flow;
        this.components = components;
        this.request = request;
        this.sink = sink;
        this.callback = callback;
    }

    /** Receives the result of a claim or of a settled key. */
    interface Callback {

        /** The key is claimed; the attempt may be sent. */
        void onClaimed(ActivePlacement placed, Replica replica, String attempt, Claim claim);

        /** The attempt that held the key was refused permanently; another one may be claimed. */
        void onRefused(Claim holder);

        /** The request ends with an outcome. */
        void onEnd(Outcome outcome);
    }

    /**
     * Claims the request's key for an attempt, or settles the claim that holds it.
     *
     * @param placed the placement
     * @param replica the replica that the attempt would be sent to
     * @param attempt the attempt's id
     * @param after the id of the earlier attempt with this key that was refused, if there was one
     */
    void claim(ActivePlacement placed, Replica replica, String attempt, Optional<String> after) {
        String epoch = flow.peer(replica.instance()).map(PeerView::epoch).orElse("");
        String key = RequestFlow.claimKey(
                request.organisation().name(), request.key().orElseThrow());
        Claim claim =
                new Claim(key, requestDigest(), replica.instance(), epoch, request.deadlineMillis(), attempt, after);
        components
                .claimWriters()
                .apply(key)
                .claim(claim, components.claimTimeout())
                .thenAccept(result -> {
                    switch (result) {
                        case ClaimResult.Won ignored -> callback.onClaimed(placed, replica, attempt, claim);
                        case ClaimResult.Held(Claim holder, long ageMillis) ->
                            handleHeld(placed, claim, holder, ageMillis);
                        case ClaimResult.Failed(Fault fault) -> callback.onEnd(Outcome.notRun(fault, RETRY_AFTER));
                    }
                });
    }

    /** Identifies the call and its body: a key may only be used again for the same ones. */
    private String requestDigest() {
        return Digest.of(
                String.join("\n", request.workload(), request.method(), request.path(), Digest.of(request.body())));
    }

    private void handleHeld(ActivePlacement placed, Claim ownClaim, Claim holder, long ageMillis) {
        if (!holder.bodyDigest().equals(ownClaim.bodyDigest())) {
            callback.onEnd(Outcome.notRun(
                    Fault.of(
                            Step.CLAIM,
                            holder.instance(),
                            Reason.CONFLICT,
                            "the Idempotency-Key was used before with another body"),
                    RETRY_AFTER));
            return;
        }
        if (ageMillis < RECENT_CLAIM_MILLIS) {
            // Settling now would refuse an attempt that is still being sent, and a retry of it would be refused as
            // well.
            callback.onEnd(Outcome.unknown(Fault.of(
                    Step.CLAIM, holder.instance(), Reason.CONFLICT, "a request with this key has just been sent")));
            return;
        }
        settle(placed, holder);
    }

    /** Settles a claimed key; a new attempt follows only if the key was refused permanently. */
    void settle(ActivePlacement placed, Claim holder) {
        Optional<Replica> replica = placed.replicaOn(holder.instance());
        if (replica.isEmpty()) {
            callback.onEnd(Outcome.unknown(
                    Fault.of(Step.CLAIM, holder.instance(), Reason.GONE, "the instance that holds the key is gone")));
            return;
        }
        components.agents().settle(replica.get(), holder).thenAccept(result -> {
            LOG.info("settle request={} holder={} result={}", request.id(), holder.attempt(), result);
            switch (result) {
                case Result.Failure<Optional<Ledger.Settlement>>(Fault fault) -> callback.onEnd(Outcome.unknown(fault));
                case Result.Success<Optional<Ledger.Settlement>>(Optional<Ledger.Settlement> settled) ->
                    settled.ifPresentOrElse(
                            settlement -> handleSettled(replica.get(), holder, settlement),
                            () -> callback.onEnd(Outcome.unknown(Fault.of(
                                    Step.CLAIM,
                                    holder.instance(),
                                    Reason.GONE,
                                    "the process that held the key has been replaced"))));
            }
        });
    }

    private void handleSettled(Replica replica, Claim holder, Ledger.Settlement settlement) {
        switch (settlement.state()) {
            case REFUSED -> callback.onRefused(holder);
            case RUNNING ->
                callback.onEnd(Outcome.unknown(
                        Fault.of(Step.CLAIM, replica.instance(), Reason.CONFLICT, "the request is in progress")));
            case DONE -> returnStored(replica, holder, settlement.response());
        }
    }

    private void returnStored(Replica replica, Claim holder, Optional<Ledger.StoredResponse> response) {
        if (response.isEmpty()) {
            callback.onEnd(Outcome.unknown(Fault.of(
                    Step.CLAIM, replica.instance(), Reason.GONE, "the request ran; its answer is not kept any more")));
            return;
        }
        sink.onHead(new ResponseHead(
                holder.attempt(),
                response.get().status(),
                response.get().contentType(),
                "",
                replica.instance(),
                replica.region(),
                replica.hall(),
                flow.generation()));
        sink.onData(response.get().body(), () -> callback.onEnd(Outcome.answered()));
    }
}
