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
 * Brings the endpoint beside an agent to the weight version that is wanted: fetches its chunks, lays them beside the
 * endpoint, reads all of them back, and orders the endpoint to take them up.
 */
public final class ReplicaController {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaController.class);

    /** How long chunks are laid in one step, in milliseconds: some two hundred at a usual endpoint, which takes one in a millisecond. */
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
     * What a keeper works with.
     *
     * @param model the model that the endpoint runs, once the manifest is known
     * @param layers how many layers the model has, 0 while that is not known
     * @param endpoint the endpoint
     * @param fetcher fetches chunks
     * @param view what is believed of the store
     * @param place the agent's place among those of its region
     * @param tellEntries tells entries at once how the endpoint is
     * @param boundMillis how long after a version was named older ones may answer
     * @param steadyMillis a clock that never steps, in milliseconds
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
     * A place among the agents of a region.
     *
     * @param position from 0
     * @param count how many there are
     */
    public record Place(int position, int count) {}

    /**
     * Makes a keeper.
     *
     * @param parts what it works with
     */
    public ReplicaController(Parts parts) {
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
     * Whether entries are to send the endpoint nothing, because it is about to change versions.
     *
     * @return true from shortly before an order until the endpoint has taken the order or it is no longer wanted
     */
    public boolean closing() {
        return cordon.closed();
    }

    /**
     * Whether the endpoint gets requests, which use its instance's link too.
     *
     * @return true if it holds a weight version or still works
     */
    public boolean serves() {
        return report.get()
                .filter(now -> !now.models().isEmpty() || now.running() + now.queued() > 0)
                .isPresent();
    }

    /**
     * Whether there is nothing to fetch, to order or to stop: the endpoint serves the newest version that was named.
     *
     * @return false also while the endpoint does not answer, takes up weights, or is closed to requests
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
     * For how long the endpoint was to be stopped and could not be.
     *
     * @return the seconds since this agent's start, begun ones counted whole
     */
    public long secondsNotRetired() {
        return retirement.timesImpossible();
    }

    /** Asks the endpoint for a fresh report. */
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
     * Fetches what is missing of the wanted version.
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
     * Takes the next step towards the newest version that is here whole, if there is one to take, and stops the endpoint when
     * its version may no longer answer. Waits for nothing but the endpoint beside it.
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
            // The order that it was closed for, if any, was for the endpoint's former start.
            cordon.lift();
            retirement.startedAgain();
        }
        // A busy endpoint takes no requests on the version before.
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
        // An endpoint that serves nothing gets no requests, so there is nothing to wait for; and an agent that has just
        // started may have no time to wait.
        boolean quiet =
                held == 0 || cordon.closedLongEnough(parts.steadyMillis().getAsLong()) || retires && late;
        if (quiet && whole.filter(laid::verify).isPresent()) {
            order(whole.get(), now);
        } else if (quiet && retires) {
            retirement.retire(model, held, now);
            refresh();
        }
    }

    /** Lays what has come, for a while: an endpoint that takes chunks slowly must not hold up what is due. */
    private void lay(ChunkSet set) {
        long until = parts.steadyMillis().getAsLong() + LAYING_MILLIS;
        laid.layNew(set, () -> parts.steadyMillis().getAsLong() < until);
    }

    private boolean ordersSoon(ChunkSet set, long held) {
        // Once it is closed it bears a chunk that comes late.
        long soonMillis = cordon.closed() ? 2 * Cordon.MILLIS : Cordon.MILLIS;
        return (laid.all(set) || missingMillis(set) <= soonMillis)
                && parts.steadyMillis().getAsLong() + Cordon.MILLIS >= orderAt(set.model(), held);
    }

    /**
     * How long it takes until a version is laid. Counted from the fetching, not from the laying: a version that came while the
     * one before it was laid is laid in an instant so far, and requests were kept away for up to 2.2 s before its last chunks.
     */
    private long missingMillis(ChunkSet set) {
        return fetches.expectedMillis(set, laid.missing(set));
    }

    /** When to order: at once if the endpoint serves nothing, else at this agent's turn. */
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

    // -- handing out what the endpoint holds since before this agent started

    /** Reads the version that the endpoint holds back from where it lies, so that other agents can have it. */
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
