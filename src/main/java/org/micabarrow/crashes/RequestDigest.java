package org.micabarrow.crashes;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Objects;
import java.util.zip.CRC32C;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.state.Digest;

/**
 * What is alike in a request however often and wherever it comes: its method, host, path, query, organisation and body. The
 * id of the attempt is not, since each try of a client has its own.
 *
 * @param hex the digest, in hex
 */
public record RequestDigest(String hex) {

    /** The digits of the quick part, which stand first. */
    private static final int QUICK_LENGTH = 8;

    /** The bytes of the whole that are kept: enough that two requests of all that ever come do not share them. */
    private static final int KEPT_BYTES = 12;

    /** Two digits a byte. */
    private static final int HEX_LENGTH = QUICK_LENGTH + 2 * KEPT_BYTES;

    private static final byte BETWEEN_PARTS = 0;

    /** Checks that it is of the length that all have. */
    public RequestDigest {
        Objects.requireNonNull(hex, "hex is null");
        if (hex.length() != HEX_LENGTH) {
            throw new IllegalArgumentException("a digest of " + hex.length() + " digits");
        }
        if (!hex.chars().allMatch(HexFormat::isHexDigit)) {
            throw new IllegalArgumentException("a digest that is not in hex");
        }
    }

    /**
     * The digest of a request.
     *
     * @param request the request
     * @return its digest
     */
    public static RequestDigest of(ClientRequest request) {
        Objects.requireNonNull(request, "request is null");
        MessageDigest digest = Digest.start();
        add(digest, request.method());
        add(digest, request.host());
        add(digest, request.target());
        add(digest, request.organisation().orElse(""));
        digest.update(request.body());
        String quick = HexFormat.of().toHexDigits(quickOf(request));
        return new RequestDigest(quick + HexFormat.of().formatHex(digest.digest(), 0, KEPT_BYTES));
    }

    /**
     * The quick part of a request's digest, some hundred times cheaper than the whole. Two requests that differ have the same one by
     * chance, or because a client saw to it.
     *
     * @param request the request
     * @return a number
     */
    public static int quickOf(ClientRequest request) {
        Objects.requireNonNull(request, "request is null");
        CRC32C sum = new CRC32C();
        sum.update(request.target().getBytes(StandardCharsets.UTF_8));
        sum.update(request.body());
        return (int) sum.getValue();
    }

    /**
     * The quick part.
     *
     * @return what {@link #quickOf} tells of the request
     */
    public int quick() {
        return HexFormat.fromHexDigits(hex, 0, QUICK_LENGTH);
    }

    /** No part holds a zero byte, so that two requests whose parts are cut differently differ. */
    private static void add(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update(BETWEEN_PARTS);
    }

    @Override
    public String toString() {
        return hex;
    }
}
