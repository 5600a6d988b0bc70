/** The monotonic clock that determines the age of information. */
package org.micabarrow.clock;
