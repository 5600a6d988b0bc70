package org.micabarrow.views;

/** The topics of the store from which views are built. */
public enum Topic {
    /** Records that operators wrote: the manifest and named weight versions. */
    OPERATOR,
    /** Entries that endpoints wrote about themselves. */
    ENDPOINTS,
    /** Records that processes of this system save about operator records, each under its own key. */
    NAMED,
    /** Reports of crashed endpoints that entries share with each other. */
    CRASHES
}
