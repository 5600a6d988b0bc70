package org.micabarrow.views;

/**
 * Where a manifest stands among what operators wrote.
 *
 * @param version its version
 * @param offset its offset
 */
public record ManifestPosition(long version, long offset) {}
