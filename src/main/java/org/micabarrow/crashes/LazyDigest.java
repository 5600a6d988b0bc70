package org.micabarrow.crashes;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.attempts.ClientRequest;

/**
 * The digest of a request, computed on demand. Its quick part is computed first and suffices to rule out nearly every
 * request that is not searched for. Not thread-safe: confined to one thread.
 */
public abstract sealed class LazyDigest {

    private LazyDigest() {}

    /**
     * Returns the digest of a request, to be computed on demand.
     *
     * @param request the request
     * @return its digest
     */
    public static LazyDigest of(ClientRequest request) {
        return new Deferred(Objects.requireNonNull(request, "request is null"));
    }

    /**
     * Wraps a digest that is already computed.
     *
     * @param digest the digest
     * @return the wrapped digest
     */
    public static LazyDigest of(RequestDigest digest) {
        return new Computed(Objects.requireNonNull(digest, "digest is null"));
    }

    /**
     * Returns the quick part of the digest.
     *
     * @return the value of {@link RequestDigest#quick}
     */
    public abstract int quick();

    /**
     * Returns the full digest.
     *
     * @return the digest
     */
    public abstract RequestDigest get();

    private static final class Computed extends LazyDigest {

        private final RequestDigest digest;

        private Computed(RequestDigest digest) {
            this.digest = digest;
        }

        @Override
        public int quick() {
            return digest.quick();
        }

        @Override
        public RequestDigest get() {
            return digest;
        }
    }

    private static final class Deferred extends LazyDigest {

        private final ClientRequest request;
        private Optional<Integer> quick = Optional.empty();
        private Optional<RequestDigest> full = Optional.empty();

        private Deferred(ClientRequest request) {
            this.request = request;
        }

        @Override
        public int quick() {
            if (quick.isEmpty()) {
                quick = Optional.of(RequestDigest.quickOf(request));
            }
            return quick.get();
        }

        @Override
        public RequestDigest get() {
            if (full.isEmpty()) {
                full = Optional.of(RequestDigest.of(request));
            }
            return full.get();
        }
    }
}
