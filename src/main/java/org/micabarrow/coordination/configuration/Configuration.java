package org.micabarrow.coordination.configuration;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration as this process knows it: folded on the control thread, published through one volatile reference.
 * The generation only ever rises.
 *
 * <pre>{@code
 * FoldedState state = configuration.current();
 * configuration.reach(offset, Duration.ofSeconds(9)).join();
 * }</pre>
 */
public final class Configuration {

    private static final Logger LOG = LoggerFactory.getLogger(Configuration.class);

    /** How many of the newest records are kept for peers that read from this process. */
    private static final int TAIL_KEPT = 512;

    private final ControlThread control;
    private final InstantSource clock;
    private final List<Consumer<ConfigurationFold.Step>> listeners = new CopyOnWriteArrayList<>();
    private final TreeMap<Long, List<CompletableFuture<FoldedState>>> waiting = new TreeMap<>();
    private volatile View view;

    /**
     * Makes a configuration that knows nothing yet.
     *
     * @param control the control thread
     * @param clock tells when the log was last heard
     */
    public Configuration(ControlThread control, InstantSource clock) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.view = new View(FoldedState.empty(), List.of(), Optional.empty(), 0, 0);
    }

    /**
     * What the control thread publishes.
     *
     * @param state the folded state
     * @param tail the latest records, for peers that are behind
     * @param stopped why folding has stopped for good, if it has
     * @param heardMillis when the log was last heard of, here or by whoever told, 0 for never
     * @param checkpointMillis when the log took the newest checkpoint or first record, 0 for never
     */
    public record View(
            FoldedState state,
            List<PlatformLog.Entry> tail,
            Optional<Fault> stopped,
            long heardMillis,
            long checkpointMillis) {}

    // -- reading

    /**
     * The folded state.
     *
     * @return the state, empty at first
     */
    public FoldedState current() {
        return view.state();
    }

    /**
     * All that is published.
     *
     * @return the view
     */
    public View view() {
        return view;
    }

    /**
     * The generation: the offset of the last record folded.
     *
     * @return the generation, −1 before the first
     */
    public long generation() {
        return view.state().offset();
    }

    /**
     * Whether any configuration is known.
     *
     * @return false until the first answer of the log or a peer
     */
    public boolean known() {
        return view.heardMillis() > 0;
    }

    /**
     * How long ago the log was last heard of, by this process or by whoever told it.
     *
     * @return milliseconds
     */
    public long silentMillis() {
        return clock.millis() - view.heardMillis();
    }

    /**
     * Waits until a generation is in force here.
     *
     * @param generation the generation
     * @param within how long to wait
     * @return the state then, or a time-out
     */
    public CompletableFuture<FoldedState> reach(long generation, Duration within) {
        if (generation() >= generation) {
            return CompletableFuture.completedFuture(current());
        }
        CompletableFuture<FoldedState> reached = new CompletableFuture<>();
        control.execute(() -> {
            if (generation() >= generation) {
                reached.complete(current());
            } else {
                waiting.computeIfAbsent(generation, key -> new ArrayList<>()).add(reached);
            }
        });
        return reached.orTimeout(within.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Registers a listener, called on the control thread after each page.
     *
     * @param listener receives what was folded
     */
    public void onStep(Consumer<ConfigurationFold.Step> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    // -- folding

    /**
     * Folds a page, on the control thread.
     *
     * @param page the page
     * @return done when the page has been folded or refused
     */
    public CompletableFuture<Result<FoldedState>> offer(PlatformLog.Page page) {
        CompletableFuture<Result<FoldedState>> done = new CompletableFuture<>();
        control.execute(() -> done.complete(foldNow(page)));
        return done;
    }

    /**
     * Takes a peer's folded state, if it is newer, on the control thread.
     *
     * @param copy the peer's state, with the digest that the peer gave and its age
     * @return done with the state now in force
     */
    public CompletableFuture<Result<FoldedState>> adopt(ConfigurationReader.StateCopy copy) {
        Objects.requireNonNull(copy, "copy is null");
        CompletableFuture<Result<FoldedState>> done = new CompletableFuture<>();
        control.execute(() -> done.complete(adoptNow(copy)));
        return done;
    }

    private Result<FoldedState> foldNow(PlatformLog.Page page) {
        if (view.stopped().isPresent()) {
            return Result.failure(view.stopped().get());
        }
        return switch (ConfigurationFold.fold(view.state(), page)) {
            case Result.Failure<ConfigurationFold.Step>(Fault fault) -> {
                LOG.error("configuration stops: {}", fault);
                view = new View(
                        view.state(), view.tail(), Optional.of(fault), view.heardMillis(), view.checkpointMillis());
                yield Result.failure(fault);
            }
            case Result.Success<ConfigurationFold.Step>(ConfigurationFold.Step step) -> {
                publish(step, page.records(), page.ageMillis());
                yield Result.success(step.state());
            }
        };
    }

    private Result<FoldedState> adoptNow(ConfigurationReader.StateCopy copy) {
        FoldedState state = copy.state();
        if (!state.digest().equals(copy.digest())) {
            return Result.failure(Fault.of(
                    Fault.Step.LOG,
                    "peer",
                    Fault.Reason.CORRUPT,
                    "the peer's state does not have the digest it states"));
        }
        if (state.offset() > generation()) {
            publish(new ConfigurationFold.Step(state, List.of()), List.of(), copy.ageMillis());
        }
        return Result.success(current());
    }

    /** The moment at which the log said what is that old; never one before the last, nor none at all. */
    private long heardMillis(long ageMillis) {
        return Math.max(Math.max(1, view.heardMillis()), clock.millis() - ageMillis);
    }

    private void publish(ConfigurationFold.Step step, List<PlatformLog.Entry> records, long ageMillis) {
        List<PlatformLog.Entry> tail = new ArrayList<>(view.tail());
        records.stream()
                .filter(entry ->
                        tail.isEmpty() || entry.offset() > tail.getLast().offset())
                .forEach(tail::add);
        List<PlatformLog.Entry> kept = tail.subList(Math.max(0, tail.size() - TAIL_KEPT), tail.size());
        long checkpoint = step.verdicts().stream()
                .filter(judged -> judged.record() instanceof Record.Checkpoint || view.checkpointMillis() == 0)
                .mapToLong(ConfigurationFold.Judged::atMillis)
                .max()
                .orElse(view.checkpointMillis());
        view = new View(step.state(), List.copyOf(kept), Optional.empty(), heardMillis(ageMillis), checkpoint);
        for (ConfigurationFold.Judged judged : step.verdicts()) {
            LOG.info(
                    "configuration offset={} record={} verdict={}",
                    judged.offset(),
                    judged.record().getClass().getSimpleName(),
                    judged.verdict());
        }
        // Listeners first: all of them act on a generation before those that wait for it go on.
        listeners.forEach(listener -> listener.accept(step));
        waiting.headMap(step.state().offset(), true)
                .values()
                .forEach(list -> list.forEach(future -> future.complete(step.state())));
        waiting.headMap(step.state().offset(), true).clear();
    }
}
