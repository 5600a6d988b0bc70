package org.micabarrow.weights;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
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
public final class ReplicaKeeper {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaKeeper.class);

    /** The version that a model has before any was named. */
    private static final long FIRST_VERSION = 1;

    /** How many versions are kept: the one that the endpoint holds, and two that were named soon after one another. */
    private static final int SETS_KEPT = 3;

    /** The part of the bound after which an endpoint whose newer version is not here whole must stop serving the older. */
    private static final double RETIRE_PART = 0.84;

    /** The pause after nothing could be had of any version, in milliseconds; the origin may be down for seconds. */
    private static final long AGAIN_MILLIS = 300;

    /** The part of a region's endpoints that take every version, also when a newer one is expected soon. */
    private static final double TAKING_EVERY_VERSION = 1.0 / 3;

    /**
     * How long an endpoint may stand idle for a newer version instead of taking up the one before, in milliseconds: less than the
     * change that it saves takes.
     */
    private static final long WORTH_WAITING_MILLIS = 1_500;

    private final Parts parts;
    private final Cordon cordon;
    private final LaidChunks laid;

    /** What is being fetched, or was last. */
    private volatile Optional<FetchProgress> fetching = Optional.empty();

    private final Deque<ChunkSet> sets = new ArrayDeque<>();
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
    public ReplicaKeeper(Parts parts) {
        this.parts = Objects.requireNonNull(parts, "parts is null");
        this.cordon = new Cordon(parts.tellEntries());
        this.laid = new LaidChunks(parts.endpoint());
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
        synchronized (sets) {
            return sets.stream()
                    .filter(one -> one.model().equals(model) && one.version() == version)
                    .findFirst();
        }
    }

    private Result<ChunkSet> setFor(String model, long version) {
        Optional<ChunkSet> known = set(model, version);
        if (known.isPresent()) {
            return Result.success(known.get());
        }
        return parts.fetcher().begin(model, version).map(fresh -> {
            synchronized (sets) {
                sets.addFirst(fresh);
                while (sets.size() > SETS_KEPT) {
                    sets.removeLast();
                }
            }
            return fresh;
        });
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
        long held = now.get().models().getOrDefault(model.get(), 0L);
        if (held >= wanted(model.get())) {
            return;
        }
        boolean moves = fetchNewest(model.get(), held) || fetchOlder(model.get(), held);
        if (!moves) {
            Thread.sleep(AGAIN_MILLIS);
        }
    }

    /** Fetches the newest version, until it is here or its chunks come no more; tells whether any came. */
    private boolean fetchNewest(String model, long held) throws InterruptedException {
        long newest = wanted(model);
        Optional<ChunkSet> set = begun(model, newest);
        if (set.isEmpty() || set.get().complete()) {
            return set.isPresent();
        }
        return fetch(
                set.get(),
                () -> wanted(model) == newest || worthFinishing(set.get()),
                () -> olderNeeded(model, held).isPresent());
    }

    /**
     * Fetches a version that was named before the newest, while the newest cannot be had: the origin may be away for seconds,
     * and other agents have the chunks of the version before. Without it, endpoints that were past half of neither answered
     * nothing for 8.8 s of a day of 47 s on which the origin went away 0.5 s after the second of two versions was named.
     */
    private boolean fetchOlder(String model, long held) throws InterruptedException {
        OptionalLong older = olderNeeded(model, held);
        Optional<ChunkSet> set = older.isPresent() ? begun(model, older.getAsLong()) : Optional.empty();
        return set.isPresent()
                && fetch(set.get(), () -> olderNeeded(model, held).equals(older), () -> true);
    }

    private boolean fetch(ChunkSet set, BooleanSupplier wanted, BooleanSupplier endsWithoutProgress)
            throws InterruptedException {
        int before = set.present();
        FetchProgress progress = new FetchProgress(set, parts.steadyMillis());
        fetching = Optional.of(progress);
        parts.fetcher()
                .fetch(set, () -> wanted.getAsBoolean() && !(progress.stalled() && endsWithoutProgress.getAsBoolean()));
        return set.present() > before;
    }

    /** The version to fetch while the newest cannot be had: newer than the one held, not here whole, and good to answer. */
    private OptionalLong olderNeeded(String model, long held) {
        View view = parts.view().get();
        long newest = wanted(model);
        long least = view.leastVersion(
                model, parts.boundMillis(), parts.steadyMillis().getAsLong());
        return view.newerNamed(model, held).stream()
                .mapToLong(View.Target::version)
                .filter(version -> version < newest && version >= least)
                .filter(version ->
                        set(model, version).filter(ChunkSet::complete).isEmpty())
                .findFirst();
    }

    private Optional<ChunkSet> begun(String model, long version) {
        Result<ChunkSet> set = setFor(model, version);
        set.cause()
                .ifPresent(fault ->
                        LOG.warn("event=digests_missed model={} version={} why=\"{}\"", model, version, fault));
        return set.toOptional();
    }

    /** Whether so much of a version is here that finishing it beats leaving the endpoint with the one before. */
    private static boolean worthFinishing(ChunkSet set) {
        return set.present() * 2 >= set.digests().size();
    }

    private long wanted(String model) {
        return parts.view().get().newestTarget(model).map(View.Target::version).orElse(FIRST_VERSION);
    }

    /** Takes the next step towards the newest version that is here whole, if there is one to take. */
    public void step() {
        Optional<String> model = parts.model().get();
        Optional<Report> now = report.get();
        if (model.isEmpty() || now.isEmpty()) {
            return;
        }
        long held = now.get().models().getOrDefault(model.get(), 0L);
        if (held > 0) {
            readBack(model.get(), held);
        }
        if (!now.get().busy()) {
            newestWhole(model.get(), held)
                    .filter(whole -> !skips(whole, held))
                    .or(() -> newestBegun(model.get(), held))
                    .ifPresentOrElse(set -> advance(set, held, now.get()), cordon::lift);
        }
    }

    /**
     * Whether the endpoint goes past a whole version to the newest, which is expected soon. Each change of versions takes an
     * endpoint out for some 2.6 s; with two versions named 4 s apart, more than half of fifteen endpoints were out at a time.
     * Some take every version, so that there is always one that may answer.
     */
    private boolean skips(ChunkSet whole, long held) {
        long newest = wanted(whole.model());
        if (whole.version() == newest || held > 0 && takesEveryVersion()) {
            return false;
        }
        long now = parts.steadyMillis().getAsLong();
        long servesUntil = held == 0 ? now : Math.max(now, retireAt(whole));
        return set(whole.model(), newest)
                .flatMap(coming -> fetching.filter(progress -> progress.isOf(coming)))
                .filter(progress -> progress.missingMillis() <= servesUntil - now + WORTH_WAITING_MILLIS)
                .isPresent();
    }

    private boolean takesEveryVersion() {
        Place place = parts.place().get();
        return place.position() < place.count() * TAKING_EVERY_VERSION;
    }

    /** When an endpoint must stop serving versions that are older than one. */
    private long retireAt(ChunkSet version) {
        return parts.view()
                .get()
                .newerNamed(version.model(), version.version() - 1)
                .map(named -> named.learnedMillis() + Math.round(parts.boundMillis() * RETIRE_PART))
                .orElse(Long.MIN_VALUE);
    }

    /** The version that is being fetched, of which chunks are laid as they come. */
    private Optional<ChunkSet> newestBegun(String model, long held) {
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model) && set.version() > held)
                    .max(Comparator.comparingLong(ChunkSet::version));
        }
    }

    private Optional<ChunkSet> newestWhole(String model, long held) {
        long least = leastAllowed(model, 0);
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model) && set.version() > held && set.version() >= least)
                    .filter(ChunkSet::complete)
                    .max(Comparator.comparingLong(ChunkSet::version));
        }
    }

    private void advance(ChunkSet set, long held, Report now) {
        laid.layNew(set);
        boolean allLaid = laid.all(set);
        boolean retires = !allLaid && held > 0 && tooLate(set.model(), held);
        // Once it is closed it bears a chunk that comes late.
        long soonMillis = cordon.closed() ? 2 * Cordon.MILLIS : Cordon.MILLIS;
        boolean orders = (allLaid || missingMillis(set) <= soonMillis)
                && parts.steadyMillis().getAsLong() + Cordon.MILLIS >= orderAt(set.model(), held);
        if (!retires && !orders) {
            cordon.lift();
            return;
        }
        // An endpoint that serves nothing gets no requests, so there is nothing to wait for.
        boolean quiet =
                held == 0 || cordon.closedLongEnough(parts.steadyMillis().getAsLong());
        if (quiet && retires) {
            retire(set, now);
        } else if (quiet && allLaid && laid.verify(set)) {
            order(set, now);
        }
    }

    /**
     * How long it takes until a version is laid. Counted from the fetching, not from the laying: a version that came while the
     * one before it was laid is laid in an instant so far, and requests were kept away for up to 2.2 s before its last chunks.
     */
    private long missingMillis(ChunkSet set) {
        return fetching.filter(progress -> progress.isOf(set))
                .map(progress -> progress.expectedMillis(laid.missing(set)))
                .orElse(Long.MAX_VALUE);
    }

    /** Whether the endpoint must stop serving the version that it holds, although a newer one is not here whole. */
    private boolean tooLate(String model, long held) {
        return leastAllowed(model, Cordon.MILLIS) > held;
    }

    /** The least version that the endpoint may still serve or take up, or has to in a while. */
    private long leastAllowed(String model, long aheadMillis) {
        long margin = Math.round(parts.boundMillis() * RETIRE_PART);
        return parts.view()
                .get()
                .leastVersion(model, margin, parts.steadyMillis().getAsLong() + aheadMillis);
    }

    /** Makes the endpoint take up one layer of the newer version, so that it serves the older one no more. */
    private void retire(ChunkSet set, Report now) {
        int count = set.digests().size();
        int layers = parts.layers().getAsInt();
        for (int layer = 0; layer < layers; layer++) {
            // A layer needs the chunks that overlap with its part of the version.
            int first = layer * count / layers;
            int end = ((layer + 1) * count + layers - 1) / layers;
            if (laid.allBetween(first, end) && laid.layAgain(set, first, end)) {
                Result<OrderEnd> done = parts.endpoint().startLayer(set.model(), set.version(), layer, now.orders());
                LOG.warn("event=retired model={} towards={} layer={} end={}", set.model(), set.version(), layer, done);
                break;
            }
        }
        refresh();
    }

    /** When to order: at once if the endpoint serves nothing, else at this agent's turn. */
    private long orderAt(String model, long held) {
        if (held == 0) {
            return Long.MIN_VALUE;
        }
        Place place = parts.place().get();
        return parts.view()
                .get()
                .newerNamed(model, held)
                .map(newer ->
                        OrderTimes.at(newer.learnedMillis(), parts.boundMillis(), place.position(), place.count()))
                .orElse(Long.MIN_VALUE);
    }

    private void order(ChunkSet set, Report now) {
        Result<OrderEnd> end = parts.endpoint().start(set.model(), set.version(), now.orders());
        LOG.info("event=ordered model={} version={} end={}", set.model(), set.version(), end);
        refresh();
    }

    // -- handing out what the endpoint holds since before this agent started

    /** Reads the version that the endpoint holds back from where it lies, so that other agents can have it. */
    private void readBack(String model, long held) {
        if (set(model, held).isPresent()) {
            return;
        }
        setFor(model, held).toOptional().ifPresent(laid::readInto);
    }
}
