/**
 * Selection of the replica of a placement that gets a request: which replicas are excluded and why, the expected wait at
 * the others, and what an entry has measured of each instance. This package sends no requests and does not depend on
 * claims, attempts or queues. Processes on the hosted platform use {@code org.micabarrow.routing} instead.
 */
package org.micabarrow.coordination.routing;
