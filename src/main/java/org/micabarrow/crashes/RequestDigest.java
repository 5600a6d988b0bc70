package org.micabarrow.crashes;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Objects;
import java.util.zip.CRC32C;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.state.Digest;

/**
 * Identifies equal requests, however often and through whichever entry they arrive, by method, host, path, query,
 * organisation and body. The id of the attempt is not included, since each attempt of a client has its own.
 *
 * @param hex the digest in hexadecimal
 */
public record RequestDigest(String hex) implements Cause {

    /** Number of digits of the quick part, which come first. */
    private static final int QUICK_LENGTH = 8;

    /** Number of bytes kept of the full digest: enough that no two requests are expected to share them. */
    private static final int FULL_BYTES = 12;

    /** Two digits per byte. */
    private static final int HEX_LENGTH = QUICK_LENGTH + 2 * FULL_BYTES;

    private static final byte SEPARATOR = 0;

    /** Checks the length and the digits. */
    public RequestDigest {
        Objects.requireNonNull(hex, "hex is null");
        if (hex.length() != HEX_LENGTH) {
            throw new IllegalArgumentException("request digest has " + hex.length() + " digits instead of 32");
        }
        if (!hex.chars().allMatch(HexFormat::isHexDigit)) {
            throw new IllegalArgumentException("request digest is not hexadecimal");
        }
    }

    /**
     * Computes the digest of a request.
     *
     * @param request the request
     * @return its digest
     */
    public static RequestDigest of(ClientRequest request) {
        Objects.requireNonNull(request, "request is null");
        MessageDigest digest = Digest.newSha256();
        add(digest, request.method());
        add(digest, request.host().toLowerCase(Locale.ROOT));
        add(digest, request.target());
        add(digest, request.organisation().orElse(""));
        digest.update(request.body());
        String quick = HexFormat.of().toHexDigits(quickOf(request));
        return new RequestDigest(quick + HexFormat.of().formatHex(digest.digest(), 0, FULL_BYTES));
    }

    /**
     * Computes the quick part of a request's digest, which is about a hundred times cheaper than the full digest.
     * Different requests may share it by chance, or because a client constructed them to.
     *
     * @param request the request
     * @return a checksum
     */
    public static int quickOf(ClientRequest request) {
        Objects.requireNonNull(request, "request is null");
        CRC32C checksum = new CRC32C();
        checksum.update(request.target().getBytes(StandardCharsets.UTF_8));
        checksum.update(request.body());
        return (int) checksum.getValue();
    }

    /**
     * Returns the quick part.
     *
     * @return the value of {@link #quickOf} for the request
     */
    public int quick() {
        return HexFormat.fromHexDigits(hex, 0, QUICK_LENGTH);
    }

    /**
     * Terminates each part by a zero byte, which no part contains, so that requests whose parts are split differently
     * have different digests.
     */
    private static void add(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }

    @Override
    public String description() {
        return "digest " + hex;
    }

    @Override
    public String toString() {
        return hex;
    }
}
