/**
 * How much may run at once, who waits for room and in which order, and how many retries are borne. Nothing here knows
 * where a request runs, what it carries, or the configuration.
 */
package org.micabarrow.coordination.admission;
