/**
 * The folded configuration and the pure functions over it: records of the log, the reducer that folds them, and the
 * planner. Nothing here does input or output, reads a clock or draws a random number.
 */
package org.micabarrow.state;
