package org.micabarrow.coordination.requests;

import java.time.Duration;
import java.util.Optional;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.ClaimVerdict;
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
 * Claims the key of a request that may not be repeated, and settles what became of a key that is claimed already: goes on
 * where its attempt was refused for good, gives its kept answer where it has run, and else ends as unknown.
 */
final class KeyClaim {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    /** For how long a claim counts as just being sent, in milliseconds. */
    private static final long ON_ITS_WAY_MILLIS = 1_000;

    /** When a request whose key could not be claimed may be tried again. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final RequestFlow flow;
    private final RequestFlow.Parts parts;
    private final CallerRequest request;
    private final AnswerListener sink;
    private final Next next;

    KeyClaim(RequestFlow flow, RequestFlow.Parts parts, CallerRequest request, AnswerListener sink, Next next) {
        this.flow = flow;
        this.parts = parts;
        this.request = request;
        this.sink = sink;
        this.next = next;
    }

    /** What follows on a claim or a settled key. */
    interface Next {

        /** The key is claimed: the attempt may be sent. */
        void won(ActivePlacement placed, Replica replica, String attempt, Claim claim);

        /** The attempt that held the key was refused for good: another may be claimed. */
        void refused(Claim holder);

        /** The request ends. */
        void end(Outcome outcome);
    }

    /**
     * Claims the request's key for an attempt, or finds out what became of the claim that holds it.
     *
     * @param placed the placement
     * @param replica where the attempt would run
     * @param attempt the attempt
     * @param after the attempt with this key that was refused before it, if there was one
     */
    void claim(ActivePlacement placed, Replica replica, String attempt, Optional<String> after) {
        String epoch = flow.peer(replica.instance()).map(PeerView::epoch).orElse("");
        String key = RequestFlow.claimKey(
                request.organisation().name(), request.key().orElseThrow());
        Claim claim = new Claim(
                key, digestOfWhatIsAsked(), replica.instance(), epoch, request.deadlineMillis(), attempt, after);
        parts.claims().apply(key).claim(claim, parts.claimWithin()).thenAccept(verdict -> {
            switch (verdict) {
                case ClaimVerdict.Won ignored -> next.won(placed, replica, attempt, claim);
                case ClaimVerdict.Held(Claim holder, long ageMillis) -> heldBy(placed, claim, holder, ageMillis);
                case ClaimVerdict.Failed(Fault fault) -> next.end(Outcome.notRun(fault, RETRY_AFTER));
            }
        });
    }

    /** The same key stands for the same call with the same body. */
    private String digestOfWhatIsAsked() {
        return Digest.of(
                String.join("\n", request.workload(), request.method(), request.path(), Digest.of(request.body())));
    }

    private void heldBy(ActivePlacement placed, Claim mine, Claim holder, long ageMillis) {
        if (!holder.bodyDigest().equals(mine.bodyDigest())) {
            next.end(Outcome.notRun(
                    Fault.of(
                            Step.CLAIM,
                            holder.instance(),
                            Reason.CONFLICT,
                            "the Idempotency-Key was used before with another body"),
                    RETRY_AFTER));
            return;
        }
        if (ageMillis < ON_ITS_WAY_MILLIS) {
            // Settling now would refuse a request that is just being sent, and so would its own retry be refused.
            next.end(Outcome.unknown(Fault.of(
                    Step.CLAIM, holder.instance(), Reason.CONFLICT, "a request with this key has just been sent")));
            return;
        }
        settle(placed, holder);
    }

    /** Finds out what became of a claimed key, and goes on only if it has been refused for good. */
    void settle(ActivePlacement placed, Claim holder) {
        Optional<Replica> replica = placed.replicaOn(holder.instance());
        if (replica.isEmpty()) {
            next.end(Outcome.unknown(
                    Fault.of(Step.CLAIM, holder.instance(), Reason.GONE, "the instance that holds the key is gone")));
            return;
        }
        parts.calls().settle(replica.get(), holder).thenAccept(result -> {
            LOG.info("settle request={} holder={} result={}", request.id(), holder.attempt(), result);
            switch (result) {
                case Result.Failure<Optional<Ledger.Settled>>(Fault fault) -> next.end(Outcome.unknown(fault));
                case Result.Success<Optional<Ledger.Settled>>(Optional<Ledger.Settled> settled) ->
                    settled.ifPresentOrElse(
                            one -> settled(replica.get(), holder, one),
                            () -> next.end(Outcome.unknown(Fault.of(
                                    Step.CLAIM,
                                    holder.instance(),
                                    Reason.GONE,
                                    "the process that held the key has been replaced"))));
            }
        });
    }

    private void settled(Replica replica, Claim holder, Ledger.Settled settled) {
        switch (settled.fate()) {
            case REFUSED -> next.refused(holder);
            case RUNNING ->
                next.end(Outcome.unknown(
                        Fault.of(Step.CLAIM, replica.instance(), Reason.CONFLICT, "the request is in progress")));
            case DONE -> giveKept(replica, holder, settled.answer());
        }
    }

    private void giveKept(Replica replica, Claim holder, Optional<Ledger.Answer> answer) {
        if (answer.isEmpty()) {
            next.end(Outcome.unknown(Fault.of(
                    Step.CLAIM, replica.instance(), Reason.GONE, "the request ran; its answer is not kept any more")));
            return;
        }
        sink.onHead(new AnswerHead(
                holder.attempt(),
                answer.get().status(),
                answer.get().contentType(),
                "",
                replica.instance(),
                replica.region(),
                replica.hall(),
                flow.generation()));
        sink.onData(answer.get().body(), () -> next.end(Outcome.answered()));
    }
}
