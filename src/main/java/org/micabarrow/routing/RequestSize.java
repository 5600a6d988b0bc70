package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The size of a model request as its client states it.
 *
 * @param promptTokens the tokens of its prompt; 0 for plain services
 * @param maxAnswerTokens the most tokens that its answer may have; empty if not stated
 * @param answerHintTokens the client's estimate of the tokens of its answer, often far off; empty if not stated
 */
public record RequestSize(int promptTokens, OptionalInt maxAnswerTokens, OptionalInt answerHintTokens) {

    /** How many prompt tokens an answer token counts for: it takes a step of its own. */
    private static final int ANSWER_TOKEN_WEIGHT = 10;

    private static final RequestSize NONE = ofPrompt(0);

    /** Checks that no component is null. */
    public RequestSize {
        Objects.requireNonNull(maxAnswerTokens, "maxAnswerTokens is null");
        Objects.requireNonNull(answerHintTokens, "answerHintTokens is null");
    }

    // -- static factories

    /**
     * Returns the size of a request to a plain service.
     *
     * @return a size without tokens
     */
    public static RequestSize none() {
        return NONE;
    }

    /**
     * Returns the size of a request that states nothing about its answer.
     *
     * @param promptTokens the tokens of its prompt
     * @return its size
     */
    public static RequestSize ofPrompt(int promptTokens) {
        return new RequestSize(promptTokens, OptionalInt.empty(), OptionalInt.empty());
    }

    /**
     * Returns the tokens that the answer is expected to have.
     *
     * @return the estimate, at most the stated limit; the limit if there is no estimate, and 0 if neither is stated
     */
    public int expectedAnswerTokens() {
        int limit = maxAnswerTokens.orElse(Integer.MAX_VALUE);
        return Math.max(0, Math.min(limit, answerHintTokens.orElse(maxAnswerTokens.orElse(0))));
    }

    /**
     * Returns the size by which requests of one kind are compared.
     *
     * @return the prompt tokens, and ten for each answer token that it may have
     */
    public int weight() {
        long weight = promptTokens + (long) ANSWER_TOKEN_WEIGHT * maxAnswerTokens.orElse(0);
        return (int) Math.min(weight, Integer.MAX_VALUE);
    }
}
