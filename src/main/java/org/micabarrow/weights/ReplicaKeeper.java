package org.micabarrow.weights;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.View;
import org.micabarrow.weights.ModelEndpoint.OrderEnd;
import org.micabarrow.weights.ModelEndpoint.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the endpoint beside an agent to the target weight version: fetches the chunks, stages them beside the
 * endpoint, reads all of them back, and orders the endpoint to load them.
 */
public final class ReplicaKeeper {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaKeeper.class);

    /**
     * The maximum time for staging chunks in one step, in milliseconds: some two hundred chunks at a typical endpoint,
     * which takes one in a millisecond.
     */
    private static final long LAYING_MILLIS = 250;

    private final Parts parts;
    private final Cordon cordon;
    private final LaidChunks laid;
    private final VersionDeadlines deadlines;
    private final VersionFetches fetches;
    private final Retirement retirement;
    private final VersionChoice choice;
    private final AtomicReference<Optional<Report>> report = new AtomicReference<>(Optional.empty());

    /**
     * The collaborators of a controller.
     *
     * @param model the model that the endpoint runs, once the manifest is known
     * @param layers the number of layers of the model, 0 while unknown
     * @param endpoint the endpoint
     * @param fetcher fetches chunks
     * @param view the current view of the store
     * @param place the agent's position among those of its region
     * @param notifyEntries notifies entries immediately that the endpoint's state has changed
     * @param maxStalenessMillis how long older versions may be served after a newer one was named
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public record Parts(
            Supplier<Optional<String>> model,
            IntSupplier layers,
            ModelEndpoint endpoint,
            ChunkFetcher fetcher,
            Supplier<View> view,
            Supplier<Place> place,
            Runnable tellEntries,
            long boundMillis,
            LongSupplier steadyMillis) {}

    /**
     * A position among the agents of a region.
     *
     * @param position the position, from 0
     * @param count the number of agents
     */
    public record Place(int position, int count) {}

    /**
     * Creates a controller.
     *
     * @param parts its collaborators
     */
    public ReplicaKeeper(Parts parts) {
        this.parts = Objects.requireNonNull(parts, "parts is null");
        this.cordon = new Cordon(parts.tellEntries());
        this.laid = new LaidChunks(parts.endpoint());
        this.deadlines = new VersionDeadlines(parts.view(), parts.layers(), parts.boundMillis(), parts.steadyMillis());
        this.fetches = new VersionFetches(parts.fetcher(), deadlines, parts.steadyMillis());
        this.choice = new VersionChoice(fetches, deadlines, parts.place(), parts.steadyMillis());
        this.retirement =
                new Retirement(parts.endpoint(), parts.layers(), laid, fetches, deadlines, parts.steadyMillis());
    }

    /**
     * The endpoint's last report.
     *
     * @return the report, empty while the endpoint does not answer
     */
    public Optional<Report> report() {
        return report.get();
    }

    /**
     * Whether entries must send the endpoint no requests because it is about to switch versions.
     *
     * @return true from shortly before an order until the endpoint has accepted the order or it is no longer needed
     */
    public boolean closing() {
        return cordon.closed();
    }

    /**
     * Whether the endpoint may have requests, which share its instance's link.
     *
     * @return true if it holds a weight version or has unfinished requests
     */
    public boolean serves() {
        return report.get()
                .filter(now -> !now.models().isEmpty() || now.running() + now.queued() > 0)
                .isPresent();
    }

    /**
     * Whether the endpoint serves the newest named version, so that there is nothing to fetch, to order or to stop.
     *
     * @return false also while the endpoint does not answer, loads weights, or is cordoned
     */
    public boolean settled() {
        Optional<String> model = parts.model().get();
        return model.isPresent()
                && !cordon.closed()
                && report.get()
                        .filter(now -> !now.busy())
                        .filter(now -> now.models().getOrDefault(model.get(), 0L) >= deadlines.newest(model.get()))
                        .isPresent();
    }

    /**
     * For how long the endpoint should have been stopped but could not be.
     *
     * @return the seconds since this agent's start, rounded up
     */
    public long secondsNotRetired() {
        return retirement.timesImpossible();
    }

    /** Requests a new report from the endpoint. */
    public void refresh() {
        Optional<Report> before = report.get();
        switch (parts.endpoint().report()) {
            case Result.Success<Report>(Report now) -> {
                report.set(Optional.of(now));
                if (before.isEmpty() || !before.get().models().equals(now.models())) {
                    LOG.info(
                            "event=endpoint_holds models={} orders={} busy={}", now.models(), now.orders(), now.busy());
                }
            }
            case Result.Failure<Report>(Fault fault) -> {
                report.set(Optional.empty());
                if (before.isPresent()) {
                    LOG.warn("event=endpoint_lost why=\"{}\"", fault);
                }
            }
        }
    }

    // -- chunks for other agents

    /**
     * The chunks of a version, complete or not.
     *
     * @param model the model
     * @param version the version
     * @return the set, empty if this agent has none
     */
    public Optional<ChunkSet> set(String model, long version) {
        return fetches.set(model, version);
    }

    // -- bringing the endpoint up to date

    /**
     * Fetches the missing chunks of the target version.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void fetch() throws InterruptedException {
        Optional<String> model = parts.model().get();
        Optional<Report> now = report.get();
        if (model.isEmpty() || now.isEmpty()) {
            return;
        }
        fetches.fetchFor(model.get(), now.get().models().getOrDefault(model.get(), 0L));
    }

    /**
     * Takes the next step towards the newest complete version, if there is one, and stops the endpoint when its version
     * may no longer be served. Makes no calls except to the endpoint on the same instance.
     */
    public void step() {
        Optional<String> model = parts.model().get();
        Optional<Report> now = report.get();
        now.ifPresent(told -> retirement.holds(told.models()));
        if (model.isEmpty() || now.isEmpty()) {
            retirement.hindered(now.isEmpty() ? "the endpoint does not answer" : "no manifest is known");
            return;
        }
        if (laid.startedAgain(now.get().startedMillis())) {
            // A closed cordon was for an order to the endpoint before its restart.
            cordon.lift();
            retirement.startedAgain();
        }
        // A busy endpoint accepts no requests on its previous version.
        if (!now.get().busy()) {
            long held = now.get().models().getOrDefault(model.get(), 0L);
            advance(model.get(), choice.target(model.get(), held), held, now.get());
        }
    }

    private void advance(String model, Optional<ChunkSet> target, long held, Report now) {
        target.ifPresent(this::lay);
        Optional<ChunkSet> whole = target.filter(laid::all);
        boolean late = deadlines.lastOrderPassed(model, held);
        boolean retires = retirement.due(model, held) && (whole.isEmpty() || late);
        boolean orders = target.filter(set -> ordersSoon(set, held)).isPresent();
        if (!retires && !orders) {
            cordon.lift();
            return;
        }
        // An endpoint that serves nothing gets no requests, so there is no need to wait for the cordon; and an agent
        // that has just started may have no time to wait.
        boolean quiet =
                held == 0 || cordon.closedLongEnough(parts.steadyMillis().getAsLong()) || retires && late;
        if (quiet && whole.filter(laid::verify).isPresent()) {
            order(whole.get(), now);
        } else if (quiet && retires) {
            retirement.retire(model, held, now);
            refresh();
        }
    }

    /**
     * Stages the chunks that have arrived, for a limited time: an endpoint that accepts chunks slowly must not delay an
     * order or a retirement that is due.
     */
    private void lay(ChunkSet set) {
        long until = parts.steadyMillis().getAsLong() + LAYING_MILLIS;
        laid.layNew(set, () -> parts.steadyMillis().getAsLong() < until);
    }

    private boolean ordersSoon(ChunkSet set, long held) {
        // A closed cordon tolerates a chunk that arrives late.
        long soonMillis = cordon.closed() ? 2 * Cordon.MILLIS : Cordon.MILLIS;
        return (laid.all(set) || missingMillis(set) <= soonMillis)
                && parts.steadyMillis().getAsLong() + Cordon.MILLIS >= orderAt(set.model(), held);
    }

    /**
     * The expected time until a version is staged, in milliseconds. Based on the fetch rate, not on the staging rate: a
     * version that was fetched while the previous one was being staged has most of its chunks staged in an instant,
     * which made the estimate too short, and requests were kept away for up to 2.2 s before its last chunks.
     */
    private long missingMillis(ChunkSet set) {
        return fetches.expectedMillis(set, laid.missing(set));
    }

    /** When to give the order: immediately if the endpoint serves nothing, else at this agent's scheduled time. */
    private long orderAt(String model, long held) {
        return held == 0
                ? Long.MIN_VALUE
                : deadlines.orderAt(model, held, parts.place().get());
    }

    private void order(ChunkSet set, Report now) {
        if (retirement.distrusts(set, now)) {
            retirement.giveUp(set, now);
            refresh();
            return;
        }
        Result<OrderEnd> end = parts.endpoint().start(set.model(), set.version(), now.orders());
        LOG.info("event=ordered model={} version={} end={}", set.model(), set.version(), end);
        refresh();
    }

    // -- serving chunks that the endpoint held before this agent started

    /** Reads the staged chunks of the version that the endpoint holds, so that other agents can fetch them. */
    public void readBack() {
        parts.model().get().ifPresent(model -> {
            long held = report.get()
                    .map(now -> now.models().getOrDefault(model, 0L))
                    .orElse(0L);
            if (held > 0) {
                readBack(model, held);
            }
        });
    }

    private void readBack(String model, long held) {
        if (set(model, held).isPresent()) {
            return;
        }
        fetches.setFor(model, held).toOptional().ifPresent(laid::readInto);
    }
}
