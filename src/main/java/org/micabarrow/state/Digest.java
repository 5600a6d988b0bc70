package org.micabarrow.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests, written as lower-case hexadecimal.
 *
 * <pre>{@code
 * String tokenDigest = Digest.of("secret");
 * }</pre>
 */
public final class Digest {

    /** The length of a digest in characters. */
    public static final int LENGTH = 64;

    private Digest() {}

    /**
     * Computes the digest of a text in UTF-8.
     *
     * @param text the text
     * @return the digest
     */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Computes the digest of bytes.
     *
     * @param bytes the bytes
     * @return the digest
     */
    public static String of(byte[] bytes) {
        return HexFormat.of().formatHex(newSha256().digest(bytes));
    }

    /**
     * Creates a message digest for data that arrives in pieces.
     *
     * @return a new SHA-256 message digest
     */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }

    /**
     * Checks whether a text has the form of a digest.
     *
     * @param text the text
     * @return true for 64 lower-case hexadecimal characters
     */
    public static boolean isDigest(String text) {
        return text.length() == LENGTH && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f');
    }

    /**
     * Computes a rank for rendezvous hashing, which is the same on every node.
     *
     * @param parts the texts to hash together
     * @return the first eight bytes of their digest as a signed number
     */
    public static long rank(String... parts) {
        byte[] digest = newSha256().digest(String.join("\n", parts).getBytes(StandardCharsets.UTF_8));
        return java.nio.ByteBuffer.wrap(digest).getLong();
    }
}
