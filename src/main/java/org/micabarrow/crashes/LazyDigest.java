package org.micabarrow.crashes;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.attempts.ClientRequest;

/**
 * The digest of a request, of which its quick part is worked out first: that alone tells of nearly every request that it is none of those
 * that somebody looks for. Used by one thread.
 */
public abstract sealed class LazyDigest {

    private LazyDigest() {}

    /**
     * The digest of a request, to be worked out.
     *
     * @param request the request
     * @return its digest
     */
    public static LazyDigest of(ClientRequest request) {
        return new Unknown(Objects.requireNonNull(request, "request is null"));
    }

    /**
     * A digest that is known.
     *
     * @param digest the digest
     * @return the digest
     */
    public static LazyDigest of(RequestDigest digest) {
        return new Known(Objects.requireNonNull(digest, "digest is null"));
    }

    /**
     * The quick part.
     *
     * @return what {@link RequestDigest#quick} tells of the digest
     */
    public abstract int quick();

    /**
     * The whole digest.
     *
     * @return the digest
     */
    public abstract RequestDigest get();

    private static final class Known extends LazyDigest {

        private final RequestDigest digest;

        private Known(RequestDigest digest) {
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

    private static final class Unknown extends LazyDigest {

        private final ClientRequest request;
        private Optional<Integer> quick = Optional.empty();
        private Optional<RequestDigest> whole = Optional.empty();

        private Unknown(ClientRequest request) {
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
            if (whole.isEmpty()) {
                whole = Optional.of(RequestDigest.of(request));
            }
            return whole.get();
        }
    }
}
