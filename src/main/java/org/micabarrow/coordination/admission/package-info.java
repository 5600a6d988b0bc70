/**
 * Concurrency limits, the order of requests that wait for a free slot, and the retry budget. This package does not depend
 * on where a request runs, what it contains, or the configuration.
 */
package org.micabarrow.coordination.admission;
