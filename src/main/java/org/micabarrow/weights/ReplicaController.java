package org.micabarrow.weights;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.View;
import org.micabarrow.weights.ModelEndpoint.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the endpoint beside an agent to the target weight version: fetches the chunks, stages them beside the
 * endpoint, reads all of them back, and orders the endpoint to load them.
 */
public final class ReplicaController {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaController.class);

    /**
     * The maximum time for staging chunks in one step, in milliseconds: some two hundred chunks at a typical endpoint,
     * which takes one in a millisecond.
     */
    private static final long STAGING_MILLIS = 250;

    private final Dependencies dependencies;
    private final Cordon cordon;
    private final StagedChunks stagedChunks;
    private final VersionDeadlines deadlines;
    private final VersionFetches fetches;
    private final Retirement retirement;
    private final VerifiedLoad load;
    private final TargetVersionSelector versionSelector;
    private final AtomicReference<Optional<Report>> report = new AtomicReference<>(Optional.empty());

    /**
     * The collaborators of a controller.
     *
     * @param model the model that the endpoint runs, once the manifest is known
     * @param layers the number of layers of the model, 0 while unknown
     * @param endpoint the endpoint
     * @param fetcher fetches chunks
     * @param view the current view of the store
     * @param regionPosition the agent's position among those of its region
     * @param notifyEntries notifies entries immediately that the endpoint's state has changed
     * @param maxStalenessMillis how long older versions may be served after a newer one was named
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public record Dependencies(
            Supplier<Optional<String>> model,
            IntSupplier layers,
            ModelEndpoint endpoint,
            ChunkFetcher fetcher,
            Supplier<View> view,
            Supplier<RegionPosition> regionPosition,
            Runnable notifyEntries,
            long maxStalenessMillis,
            LongSupplier monotonicMillis) {}

    /**
     * A position among the agents of a region.
     *
     * @param index the position, from 0
     * @param count the number of agents
     */
    public record RegionPosition(int index, int count) {}

    /**
     * Creates a controller.
     *
     * @param dependencies its collaborators
     */
    public ReplicaController(Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
        this.cordon = new Cordon(dependencies.notifyEntries());
        this.stagedChunks = new StagedChunks(dependencies.endpoint(), dependencies.monotonicMillis());
        this.deadlines = new VersionDeadlines(
                dependencies.view(),
                dependencies.layers(),
                dependencies.maxStalenessMillis(),
                dependencies.monotonicMillis());
        this.fetches = new VersionFetches(dependencies.fetcher(), deadlines, dependencies.monotonicMillis());
        this.versionSelector = new TargetVersionSelector(
                fetches, deadlines, dependencies.regionPosition(), dependencies.monotonicMillis());
        this.retirement = new Retirement(
                dependencies.endpoint(),
                dependencies.layers(),
                stagedChunks,
                fetches,
                deadlines,
                dependencies.monotonicMillis());
        this.load = new VerifiedLoad(dependencies.endpoint(), stagedChunks, retirement, dependencies.monotonicMillis());
    }

    /**
     * The endpoint's last report.
     *
     * @return the report, empty while the endpoint does not respond
     */
    public Optional<Report> report() {
        return report.get();
    }

    /**
     * Whether entries must send the endpoint no requests because it is about to switch versions.
     *
     * @return true from shortly before an order until the endpoint has accepted the order or it is no longer needed
     */
    public boolean isCordoned() {
        return cordon.isClosed();
    }

    /**
     * Whether the endpoint may have requests, which share its instance's link.
     *
     * @return true if it holds a weight version or has unfinished requests
     */
    public boolean mayHaveRequests() {
        return report.get()
                .filter(latest -> !latest.models().isEmpty() || latest.requests() > 0)
                .isPresent();
    }

    /**
     * Whether the endpoint serves the newest named version, so that there is nothing to fetch, to order or to stop.
     *
     * @return false also while the endpoint does not respond, loads weights, or is cordoned
     */
    public boolean isUpToDate() {
        Optional<String> model = dependencies.model().get();
        return model.isPresent()
                && !cordon.isClosed()
                && report.get()
                        .filter(latest -> !latest.busy())
                        .filter(latest ->
                                latest.models().getOrDefault(model.get(), 0L) >= deadlines.newest(model.get()))
                        .isPresent();
    }

    /**
     * For how long the endpoint should have been stopped but could not be.
     *
     * @return the seconds since this agent's start, rounded up
     */
    public long secondsNotRetired() {
        return retirement.impossibleCount();
    }

    /**
     * How long before its bound the endpoint last stopped serving a version without a complete newer one.
     *
     * @return the milliseconds, negative if it stopped after the bound; 0 before the first stop
     */
    public long lastStopBeforeBoundMillis() {
        return retirement.lastStopBeforeBoundMillis();
    }

    /** Requests a new report from the endpoint. */
    public void refresh() {
        Optional<Report> before = report.get();
        switch (dependencies.endpoint().report()) {
            case Result.Success<Report>(Report latest) -> {
                report.set(Optional.of(latest));
                if (before.isEmpty() || !before.get().models().equals(latest.models())) {
                    LOG.info(
                            "event=endpoint_holds models={} orders={} busy={}",
                            latest.models(),
                            latest.orderCount(),
                            latest.busy());
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
    public Optional<ChunkSet> chunkSet(String model, long version) {
        return fetches.chunkSet(model, version);
    }

    // -- bringing the endpoint up to date

    /**
     * Fetches the missing chunks of the target version.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void fetch() throws InterruptedException {
        Optional<String> model = dependencies.model().get();
        Optional<Report> latest = report.get();
        if (model.isEmpty() || latest.isEmpty()) {
            return;
        }
        fetches.fetchNewerThan(model.get(), latest.get().models().getOrDefault(model.get(), 0L));
    }

    /**
     * Takes the next step towards the newest complete version, if there is one, and stops the endpoint when its version
     * may no longer be served. Makes no calls except to the endpoint on the same instance.
     */
    public void step() {
        Optional<String> model = dependencies.model().get();
        Optional<Report> latest = report.get();
        latest.ifPresent(endpointReport -> retirement.updateHeld(endpointReport.models()));
        if (model.isEmpty() || latest.isEmpty()) {
            retirement.reportBlocked(latest.isEmpty() ? "the endpoint does not answer" : "no manifest is known");
            return;
        }
        if (stagedChunks.detectRestart(latest.get().startedMillis())) {
            // A closed cordon was for an order to the endpoint before its restart.
            cordon.lift();
            retirement.onRestart();
            load.onRestart();
        }
        long held = latest.get().models().getOrDefault(model.get(), 0L);
        if (!load.confirm(latest.get()) && !retirement.isDue(model.get(), held)) {
            cordon.closeAndCheckElapsed(
                    dependencies.monotonicMillis().getAsLong(), Cordon.Reason.CHECK, OptionalLong.empty());
            refresh();
            return;
        }
        // A busy endpoint accepts no requests on its previous version.
        if (!latest.get().busy()) {
            advance(model.get(), versionSelector.select(model.get(), held), held, latest.get());
        }
    }

    private void advance(String model, Optional<ChunkSet> target, long held, Report latest) {
        target.ifPresent(this::stageArrived);
        Optional<ChunkSet> staged = target.filter(stagedChunks::isComplete);
        boolean lastOrderPassed = deadlines.lastOrderPassed(model, held);
        boolean retireDue = retirement.isDue(model, held) && (staged.isEmpty() || lastOrderPassed);
        boolean orderDue = target.filter(set -> isOrderDueSoon(set, held)).isPresent();
        if (!retireDue && !orderDue) {
            cordon.lift();
            return;
        }
        // An endpoint that serves nothing gets no requests, so there is no need to wait for the cordon; and an agent
        // that has just started may have no time to wait.
        boolean cordonElapsed = held == 0
                || cordon.closeAndCheckElapsed(
                        dependencies.monotonicMillis().getAsLong(),
                        orderDue ? Cordon.Reason.ORDER : Cordon.Reason.STOP,
                        deadlines.millisUntilBound(model, held))
                || retireDue && lastOrderPassed;
        if (cordonElapsed
                && staged.filter(set -> load.orderIfIntact(set, latest)).isPresent()) {
            refresh();
        } else if (cordonElapsed && retireDue) {
            retirement.retire(model, held, latest);
            refresh();
        }
    }

    /**
     * Stages the chunks that have arrived, for a limited time: an endpoint that accepts chunks slowly must not delay an
     * order or a retirement that is due.
     */
    private void stageArrived(ChunkSet set) {
        long endMillis = dependencies.monotonicMillis().getAsLong() + STAGING_MILLIS;
        stagedChunks.stageNew(set, () -> dependencies.monotonicMillis().getAsLong() < endMillis);
    }

    private boolean isOrderDueSoon(ChunkSet set, long held) {
        // A closed cordon tolerates a chunk that arrives late.
        long soonMillis = cordon.isClosed() ? 2 * Cordon.LEAD_MILLIS : Cordon.LEAD_MILLIS;
        return (stagedChunks.isComplete(set) || remainingMillis(set) <= soonMillis)
                && dependencies.monotonicMillis().getAsLong() + Cordon.LEAD_MILLIS >= orderAt(set.model(), held);
    }

    /**
     * The expected time until a version is staged, in milliseconds. Based on the fetch rate, not on the staging rate: a
     * version that was fetched while the previous one was being staged has most of its chunks staged in an instant,
     * which made the estimate too short, and requests were kept away for up to 2.2 s before its last chunks.
     */
    private long remainingMillis(ChunkSet set) {
        return fetches.expectedMillis(set, stagedChunks.missingCount(set));
    }

    /** When to give the order: immediately if the endpoint serves nothing, else at this agent's scheduled time. */
    private long orderAt(String model, long held) {
        return held == 0
                ? Long.MIN_VALUE
                : deadlines.orderAt(model, held, dependencies.regionPosition().get());
    }

    // -- serving chunks that the endpoint held before this agent started

    /** Reads the staged chunks of the version that the endpoint holds, so that other agents can fetch them. */
    public void readBack() {
        dependencies.model().get().ifPresent(model -> {
            long held = report.get()
                    .map(latest -> latest.models().getOrDefault(model, 0L))
                    .orElse(0L);
            if (held > 0) {
                readBack(model, held);
            }
        });
    }

    private void readBack(String model, long held) {
        if (chunkSet(model, held).isPresent()) {
            return;
        }
        fetches.findOrCreate(model, held).toOptional().ifPresent(stagedChunks::readInto);
    }
}
