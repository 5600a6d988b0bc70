package org.micabarrow.state;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * A value, or the fault that took its place.
 *
 * <pre>{@code
 * Result<Integer> port = Result.success(8080).map(p -> p + 1);
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /**
     * Wraps a value.
     *
     * @param value the value
     * @param <T> its type
     * @return a success
     */
    static <T> Result<T> success(T value) {
        return new Success<>(value);
    }

    /**
     * Wraps a fault.
     *
     * @param fault what went wrong
     * @param <T> the type of the value that is absent
     * @return a failure
     */
    static <T> Result<T> failure(Fault fault) {
        return new Failure<>(fault);
    }

    /**
     * Applies a function to the value, if there is one.
     *
     * @param mapper the function
     * @param <U> the type it gives
     * @return the mapped value or the same fault
     */
    default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
        return flatMap(value -> success(mapper.apply(value)));
    }

    /**
     * Applies a function that may itself fail.
     *
     * @param mapper the function
     * @param <U> the type it gives
     * @return what the function gave, or the same fault
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
        Objects.requireNonNull(mapper, "mapper is null");
        return switch (this) {
            case Success<T> success -> mapper.apply(success.value());
            case Failure<T> failure -> failure(failure.fault());
        };
    }

    /**
     * The value, if there is one.
     *
     * @return the value, or empty for a failure
     */
    default Optional<T> toOptional() {
        return this instanceof Success<T> success ? Optional.of(success.value()) : Optional.empty();
    }

    /**
     * The fault, if there is one.
     *
     * @return the fault, or empty for a success
     */
    default Optional<Fault> cause() {
        return this instanceof Failure<T> failure ? Optional.of(failure.fault()) : Optional.empty();
    }

    /**
     * A present value.
     *
     * @param value the value
     * @param <T> its type
     */
    record Success<T>(T value) implements Result<T> {

        /** Checks that the value is present. */
        public Success {
            Objects.requireNonNull(value, "value is null");
        }
    }

    /**
     * An absent value.
     *
     * @param fault why it is absent
     * @param <T> the type of the value that is absent
     */
    record Failure<T>(Fault fault) implements Result<T> {

        /** Checks that the fault is present. */
        public Failure {
            Objects.requireNonNull(fault, "fault is null");
        }
    }
}
