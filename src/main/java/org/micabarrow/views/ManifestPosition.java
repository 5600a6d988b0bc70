package org.micabarrow.views;

/**
 * The position of a manifest among the operator records.
 *
 * @param version the version of the manifest
 * @param offset its offset in the topic
 */
public record ManifestPosition(long version, long offset) {}
