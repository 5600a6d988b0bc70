package org.micabarrow.views;

/** The topics of the store that views are made of. */
public enum Topic {
    /** What operators wrote: the manifest and named weight versions. */
    OPERATOR,
    /** What endpoints wrote about themselves. */
    ENDPOINTS,
    /** What processes of this system keep of what operators wrote, each thing under a key of its own. */
    NAMED,
    /** What entries tell each other of endpoints that crashed. */
    CRASHES
}
