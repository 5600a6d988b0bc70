package org.micabarrow.views;

/** How records that were read relate to those that were read before. */
enum Continuity {

    /** They follow them, or are as old: what they say is in force. */
    CONTINUED,

    /**
     * They are the latest of all keys of a store that has continued from an older copy. They may be older than what is
     * known, and lack what operators and endpoints are about to write again.
     */
    RESTORED
}
