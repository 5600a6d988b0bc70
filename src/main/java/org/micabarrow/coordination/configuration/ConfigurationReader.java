package org.micabarrow.coordination.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Result;
import org.micabarrow.steps.StoppableThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The thread that brings configuration records in. In each data hall a few instances read the platform's log; the
 * others read from those, and from the log only when none of them answers. While the log is out, a process that knows
 * nothing yet takes the folded state of a peer.
 */
public final class ConfigurationReader implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReader.class);

    /** How long a read of the log or of a relay waits for a record. */
    private static final Duration WAIT = Duration.ofSeconds(4);

    /** The pause after a first failure; it doubles with each further one. */
    private static final Duration PAUSE = Duration.ofMillis(200);

    /** The longest pause between two tries. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

    private final Configuration configuration;
    private final PlatformLog log;
    private final Peers peers;
    private final Supplier<List<String>> relays;
    private final StoppableThread thread;

    private ConfigurationReader(
            Configuration configuration, PlatformLog log, Peers peers, Supplier<List<String>> relays) {
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.relays = Objects.requireNonNull(relays, "relays is null");
        this.thread = new StoppableThread("configuration-reader", this::run);
    }

    /** Reads records and state from other processes of the system. */
    public interface Peers {

        /**
         * Reads the records that a peer holds.
         *
         * @param address the peer
         * @param from the first offset wanted
         * @param wait how long the peer may wait for a record
         * @return the records; the page begins later than asked where the peer no longer has them
         */
        Result<PlatformLog.Page> records(String address, long from, Duration wait);

        /**
         * Reads a peer's folded state.
         *
         * @param address the peer
         * @return the state and its digest
         */
        Result<StateCopy> state(String address);

        /**
         * The peers to ask for a state, in order.
         *
         * @return their addresses
         */
        List<String> known();
    }

    /**
     * A folded state on its way between processes.
     *
     * @param state the state
     * @param digest the digest that its holder gives
     * @param ageMillis how long ago its holder heard of the log, in milliseconds; {@link PlatformLog.Page#UNKNOWN_AGE} if it does not say
     */
    public record StateCopy(FoldedState state, String digest, long ageMillis) {}

    /**
     * Starts reading.
     *
     * @param configuration receives the records
     * @param log the platform's log
     * @param peers reaches other processes
     * @param relays the peers from which this process reads instead of the log; empty to read the log itself
     * @return the running reader
     */
    public static ConfigurationReader start(
            Configuration configuration, PlatformLog log, Peers peers, Supplier<List<String>> relays) {
        ConfigurationReader reader = unstarted(configuration, log, peers, relays);
        reader.thread.start();
        return reader;
    }

    /** A reader whose thread does not run, so that a test can read step by step. */
    static ConfigurationReader unstarted(
            Configuration configuration, PlatformLog log, Peers peers, Supplier<List<String>> relays) {
        return new ConfigurationReader(configuration, log, peers, relays);
    }

    private void run() {
        Duration pause = PAUSE;
        while (!thread.isClosing()) {
            Result<FoldedState> step = readOnce();
            pause = step instanceof Result.Success ? PAUSE : longer(pause);
            if (step instanceof Result.Failure<FoldedState>(Fault fault) && !thread.isClosing()) {
                LOG.warn("configuration not read: {}", fault);
                thread.pause(pause);
            }
        }
    }

    /**
     * Reads once, from a relay or the log, else from any peer if nothing is known yet.
     *
     * @return the state afterwards
     */
    Result<FoldedState> readOnce() {
        for (String relay : relays.get()) {
            Result<FoldedState> viaRelay = readFrom(relay);
            if (viaRelay instanceof Result.Success || thread.isClosing()) {
                return viaRelay;
            }
        }
        Result<FoldedState> direct = log.read(PlatformLog.CONFIGURATION, configuration.generation() + 1, WAIT)
                .flatMap(page -> configuration.offer(page).join());
        if (direct instanceof Result.Failure && !configuration.known() && !thread.isClosing()) {
            return adoptFromPeer(direct);
        }
        return direct;
    }

    private Result<FoldedState> readFrom(String relay) {
        long from = configuration.generation() + 1;
        return peers.records(relay, from, WAIT).flatMap(page -> {
            boolean gap = !page.records().isEmpty() && page.records().getFirst().offset() > from;
            return gap || page.first() > from
                    ? peers.state(relay)
                            .flatMap(copy -> configuration.adopt(copy).join())
                    : configuration.offer(page).join();
        });
    }

    private Result<FoldedState> adoptFromPeer(Result<FoldedState> otherwise) {
        for (String peer : peers.known()) {
            Result<FoldedState> adopted =
                    peers.state(peer).flatMap(copy -> configuration.adopt(copy).join());
            if (adopted instanceof Result.Success) {
                LOG.info("configuration taken from peer={} generation={}", peer, configuration.generation());
                return adopted;
            }
            if (thread.isClosing()) {
                return otherwise;
            }
        }
        return otherwise;
    }

    private static Duration longer(Duration pause) {
        Duration doubled = pause.multipliedBy(2);
        return doubled.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : doubled;
    }

    /** Ends the reading; when it returns, no call goes on and none begins. */
    @Override
    public void close() {
        thread.close();
    }
}
