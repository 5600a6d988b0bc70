package org.micabarrow.play;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.micabarrow.routing.ModelProfile;

/**
 * What is played.
 *
 * @param entryShares the part of the callers that each entry gets
 * @param engines how many engines there are
 * @param model their figures
 * @param perSecond requests a second
 * @param askMillis how often an entry asks an agent
 * @param lookMillis how often an agent looks at its engine
 * @param dealt whether agents deal places out
 * @param retryAfterPart the part of its time after which a refused caller comes back
 * @param patience how long callers wait
 * @param slow which engines are slow for a while
 * @param uneven what else differs between engines
 * @param streams who calls; empty for requests of three kinds and one priority, {@code perSecond} of them
 * @param divided whether agents divide slots by class
 * @param faults what fails
 * @param delays how late entries learn and act
 * @param seed decides all that is random
 */
record LoadSetting(
        List<Double> entryShares,
        int engines,
        ModelProfile model,
        double perSecond,
        long askMillis,
        long lookMillis,
        boolean dealt,
        double retryAfterPart,
        Patience patience,
        Optional<Slow> slow,
        Uneven uneven,
        List<CallerStream> streams,
        boolean divided,
        Faults faults,
        Delays delays,
        long seed) {

    LoadSetting(
            List<Double> entryShares,
            int engines,
            ModelProfile model,
            double perSecond,
            long askMillis,
            long lookMillis,
            boolean dealt,
            double retryAfterPart,
            Patience patience,
            Optional<Slow> slow,
            Uneven uneven,
            List<CallerStream> streams,
            boolean divided,
            Faults faults,
            long seed) {
        this(
                entryShares,
                engines,
                model,
                perSecond,
                askMillis,
                lookMillis,
                dealt,
                retryAfterPart,
                patience,
                slow,
                uneven,
                streams,
                divided,
                faults,
                Delays.NONE,
                seed);
    }

    LoadSetting(
            List<Double> entryShares,
            int engines,
            ModelProfile model,
            double perSecond,
            long askMillis,
            long lookMillis,
            boolean dealt,
            double retryAfterPart,
            Patience patience,
            Optional<Slow> slow,
            long seed) {
        this(
                entryShares,
                engines,
                model,
                perSecond,
                askMillis,
                lookMillis,
                dealt,
                retryAfterPart,
                patience,
                slow,
                Uneven.NONE,
                List.of(),
                false,
                Faults.NONE,
                seed);
    }

    /**
     * Engines that are slow for a while.
     *
     * @param part their part of all
     * @param times how many times as long they take
     * @param fromMillis when they begin to be slow
     * @param toMillis when they are well again
     */
    record Slow(double part, double times, double fromMillis, double toMillis) {}

    /**
     * What fails.
     *
     * @param lostPart the part of the questions to agents that gets lost
     * @param silentAgents the number of agents that stop answering
     * @param formerEntries the number of entries of the build before, which tell no demand
     * @param dyingEntries the number of entries that stop without a word, with what was granted to them
     * @param fromMillis when agents fall silent and entries stop
     */
    record Faults(double lostPart, int silentAgents, int formerEntries, int dyingEntries, double fromMillis) {

        static final Faults NONE = new Faults(0, 0, 0, 0, Double.POSITIVE_INFINITY);
    }

    /**
     * How late entries learn of engines, and how long they stand still for lack of processor.
     *
     * @param wayMillis the way from an entry to an engine or its agent, and back
     * @param runMillis for how long an entry runs in each period
     * @param periodMillis the period
     */
    record Delays(double wayMillis, double runMillis, double periodMillis) {

        /** Once over to another region, and all the processor that is needed. */
        static final Delays NONE = new Delays(3, 1, 1);

        /** Returns how long an entry stands still from a moment on. */
        double stillMillis(double atMillis) {
            double sinceRun = atMillis % periodMillis;
            return sinceRun < runMillis ? 0 : periodMillis - sinceRun;
        }
    }

    /**
     * How long callers wait, and where they come back.
     *
     * @param spread by which part of the usual time a caller's own may be shorter or longer
     * @param anywhere whether a refused caller comes back to any entry, instead of the one that refused it
     */
    record Patience(double spread, boolean anywhere) {

        static final Patience ALIKE = new Patience(0, false);
    }

    /**
     * In which ways engines differ, and what they tell of it.
     *
     * @param moments by which some are slow, at any time others
     * @param pace what they tell of their speed
     * @param mute which fall silent while their agents answer
     * @param kvTokens the tokens that an engine's memory holds; empty if it never runs out
     * @param memoryReported whether they tell of it
     * @param answerSpread how far the answers' lengths differ, as the standard deviation of their logarithm
     */
    record Uneven(
            Optional<Moments> moments,
            ToldPace pace,
            Optional<Mute> mute,
            OptionalInt kvTokens,
            boolean memoryReported,
            double answerSpread) {

        static final Uneven NONE =
                new Uneven(Optional.empty(), ToldPace.NOTHING, Optional.empty(), OptionalInt.empty(), true, 0.8);

        Uneven with(Moments slow, ToldPace told) {
            return new Uneven(Optional.of(slow), told, mute, kvTokens, memoryReported, answerSpread);
        }

        Uneven with(Mute silent) {
            return new Uneven(moments, pace, Optional.of(silent), kvTokens, memoryReported, answerSpread);
        }

        Uneven with(int memoryTokens, double spread) {
            return new Uneven(moments, pace, mute, OptionalInt.of(memoryTokens), memoryReported, spread);
        }

        Uneven withoutMemoryReports() {
            return new Uneven(moments, pace, mute, kvTokens, false, answerSpread);
        }
    }

    /**
     * Engines that are slow by moments.
     *
     * @param part the part of its time for which an engine is slow
     * @param times how many times as long it takes then
     * @param leastMillis the shortest moment
     * @param mostMillis the longest moment
     */
    record Moments(double part, double times, double leastMillis, double mostMillis) {}

    /**
     * Engines that keep what they have and send nothing for a while, although their agents answer.
     *
     * @param count how many
     * @param fromMillis when they fall silent
     * @param toMillis when they go on
     */
    record Mute(int count, double fromMillis, double toMillis) {}

    /** What engines tell of their speed. */
    enum ToldPace {
        NOTHING,
        TRUE,
        /** The usual pace, also while slow. */
        ALWAYS_USUAL,
        /** The usual pace while slow, and five times as slow while fast. */
        INVERTED,
        /** Numbers that are no pace. */
        ABSURD
    }
}
