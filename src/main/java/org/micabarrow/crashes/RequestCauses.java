package org.micabarrow.crashes;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.micabarrow.attempts.ClientRequest;

/**
 * The possible causes that a request brings to an endpoint: its content and the shared parts of its prompt. The digest
 * of the content is computed on demand, its quick part first, which suffices to rule out nearly every request that is
 * not searched for. Not thread-safe: confined to one thread.
 */
public abstract sealed class RequestCauses {

    private final Set<PromptPart> parts;

    private RequestCauses(Set<PromptPart> parts) {
        this.parts = parts;
    }

    // -- static factories

    /**
     * Returns the causes in a request, whose digest is computed on demand.
     *
     * @param request the request
     * @return its causes
     */
    public static RequestCauses of(ClientRequest request) {
        return new Deferred(Objects.requireNonNull(request, "request is null"));
    }

    /**
     * Returns the causes in a request without shared parts whose digest is known.
     *
     * @param digest the digest
     * @return the causes
     */
    public static RequestCauses of(RequestDigest digest) {
        return of(digest, Set.of());
    }

    /**
     * Returns the causes in a request whose digest is known.
     *
     * @param digest the digest
     * @param parts the shared parts of its prompt
     * @return the causes
     */
    public static RequestCauses of(RequestDigest digest, Set<PromptPart> parts) {
        return new Computed(Objects.requireNonNull(digest, "digest is null"), Set.copyOf(parts));
    }

    // -- causes

    /**
     * Returns the shared parts of the prompt.
     *
     * @return the parts; empty if the request states none
     */
    public Set<PromptPart> parts() {
        return parts;
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
    public abstract RequestDigest digest();

    /**
     * Returns whether the request holds a cause.
     *
     * @param cause the cause
     * @return true if it is its content or a shared part of its prompt
     */
    public boolean holds(Cause cause) {
        return switch (cause) {
            case RequestDigest other -> other.quick() == quick() && other.equals(digest());
            case PromptPart part -> parts.contains(part);
        };
    }

    private static final class Computed extends RequestCauses {

        private final RequestDigest digest;

        private Computed(RequestDigest digest, Set<PromptPart> parts) {
            super(parts);
            this.digest = digest;
        }

        @Override
        public int quick() {
            return digest.quick();
        }

        @Override
        public RequestDigest digest() {
            return digest;
        }
    }

    private static final class Deferred extends RequestCauses {

        private final ClientRequest request;
        private Optional<Integer> quick = Optional.empty();
        private Optional<RequestDigest> full = Optional.empty();

        private Deferred(ClientRequest request) {
            super(request.sharedPromptParts().stream().map(PromptPart::new).collect(Collectors.toUnmodifiableSet()));
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
        public RequestDigest digest() {
            if (full.isEmpty()) {
                full = Optional.of(RequestDigest.of(request));
            }
            return full.get();
        }
    }
}
