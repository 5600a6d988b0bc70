package org.micabarrow.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Learns for each route how many tokens answers have per token that clients estimate, or else per token of the limit
 * that they state. Estimates may be far off in either direction. Not thread-safe: confined to one thread.
 */
public final class AnswerLengths {

    /** Number of answers that are remembered for a route: older ones are forgotten as new ones end. */
    private static final int REMEMBERED = 64;

    /** Number of answers from which on a route's ratio is used instead of 1. */
    private static final int MIN_ANSWERS = 8;

    /** Quantile of the ratios that is expected: an endpoint that runs out of memory starts a request anew. */
    private static final double EXPECTED_QUANTILE = 0.75;

    /** Bounds of a single ratio, so that an absurd estimate has no more weight than a bad one. */
    private static final double MIN_RATIO = 0.05;

    private static final double MAX_RATIO = 20;

    private final Map<Key, Ratios> byRoute = new HashMap<>();

    /** The ratios of one route, by whether the client estimated the length or only limited it. */
    private record Key(String route, boolean estimated) {}

    /** The ratios of the last answers. */
    private static final class Ratios {

        private final double[] ratios = new double[REMEMBERED];
        private int recorded;
        private double expected = 1;

        private void add(double ratio) {
            ratios[recorded % REMEMBERED] = Math.clamp(ratio, MIN_RATIO, MAX_RATIO);
            recorded++;
            if (recorded >= MIN_ANSWERS) {
                double[] sorted = Arrays.copyOf(ratios, Math.min(recorded, REMEMBERED));
                Arrays.sort(sorted);
                expected = sorted[(int) (EXPECTED_QUANTILE * (sorted.length - 1))];
            }
        }
    }

    /**
     * Records an answer that came to its end.
     *
     * @param route the name of its route
     * @param size the size that its client stated
     * @param tokens the tokens that it had
     */
    public void observed(String route, RequestSize size, int tokens) {
        Objects.requireNonNull(route, "route is null");
        OptionalInt stated = stated(size);
        if (stated.isPresent() && tokens > 0) {
            ratios(route, size).add((double) tokens / stated.getAsInt());
        }
    }

    /**
     * Returns a request's size with the answer that is to be expected instead of its client's estimate.
     *
     * @param route the name of its route
     * @param size the size that its client stated
     * @return the size; unchanged if nothing is stated about the answer
     */
    public RequestSize expected(String route, RequestSize size) {
        OptionalInt stated = stated(size);
        if (stated.isEmpty()) {
            return size;
        }
        double tokens = stated.getAsInt() * ratios(route, size).expected;
        int limit = size.maxAnswerTokens().orElse(Integer.MAX_VALUE);
        int expectedTokens = (int) Math.min(Math.ceil(tokens), Math.max(1, limit));
        return new RequestSize(size.promptTokens(), size.maxAnswerTokens(), OptionalInt.of(expectedTokens));
    }

    private Ratios ratios(String route, RequestSize size) {
        Key key = new Key(route, positive(size.answerHintTokens()).isPresent());
        return byRoute.computeIfAbsent(key, ignored -> new Ratios());
    }

    private static OptionalInt stated(RequestSize size) {
        OptionalInt estimated = positive(size.answerHintTokens());
        return estimated.isPresent() ? estimated : positive(size.maxAnswerTokens());
    }

    private static OptionalInt positive(OptionalInt tokens) {
        return tokens.isPresent() && tokens.getAsInt() > 0 ? tokens : OptionalInt.empty();
    }
}
