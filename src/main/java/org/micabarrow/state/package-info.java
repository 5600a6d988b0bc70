/**
 * The folded configuration and the pure functions on it: the records of the log, the reducer that folds them, and the
 * planner. Code in this package performs no input or output, reads no clock and uses no random numbers.
 */
package org.micabarrow.state;
