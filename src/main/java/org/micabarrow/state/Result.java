package org.micabarrow.state;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Either a value or the fault because of which there is none.
 *
 * <pre>{@code
 * Result<Integer> port = Result.success(8080).map(p -> p + 1);
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /**
     * Creates a success.
     *
     * @param value the value
     * @param <T> the type of the value
     * @return a success with the value
     */
    static <T> Result<T> success(T value) {
        return new Success<>(value);
    }

    /**
     * Creates a failure.
     *
     * @param fault the fault
     * @param <T> the type of the absent value
     * @return a failure with the fault
     */
    static <T> Result<T> failure(Fault fault) {
        return new Failure<>(fault);
    }

    /**
     * Applies a function to the value of a success.
     *
     * @param mapper the function
     * @param <U> the result type of the function
     * @return the mapped value, or the same fault
     */
    default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
        return flatMap(value -> success(mapper.apply(value)));
    }

    /**
     * Applies a function that may itself fail to the value of a success.
     *
     * @param mapper the function
     * @param <U> the value type of the function's result
     * @return the result of the function, or the same fault
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
        Objects.requireNonNull(mapper, "mapper is null");
        return switch (this) {
            case Success<T> success -> mapper.apply(success.value());
            case Failure<T> failure -> failure(failure.fault());
        };
    }

    /**
     * Returns the value as an optional.
     *
     * @return the value, or empty for a failure
     */
    default Optional<T> toOptional() {
        return this instanceof Success<T> success ? Optional.of(success.value()) : Optional.empty();
    }

    /**
     * Returns the fault as an optional.
     *
     * @return the fault, or empty for a success
     */
    default Optional<Fault> cause() {
        return this instanceof Failure<T> failure ? Optional.of(failure.fault()) : Optional.empty();
    }

    /**
     * A success.
     *
     * @param value the value
     * @param <T> the type of the value
     */
    record Success<T>(T value) implements Result<T> {

        /** Rejects a null value. */
        public Success {
            Objects.requireNonNull(value, "value is null");
        }
    }

    /**
     * A failure.
     *
     * @param fault the fault because of which there is no value
     * @param <T> the type of the absent value
     */
    record Failure<T>(Fault fault) implements Result<T> {

        /** Rejects a null fault. */
        public Failure {
            Objects.requireNonNull(fault, "fault is null");
        }
    }
}
