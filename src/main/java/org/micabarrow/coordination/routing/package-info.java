/**
 * Which replica of a placement takes a request: those that may not and why, the expected wait at the others, and what an
 * entry has learned of agents from its own traffic. Nothing here sends a request or knows claims, attempts or queues.
 * Processes on the hosted platform use {@code org.micabarrow.routing} instead.
 */
package org.micabarrow.coordination.routing;
