/**
 * The movement of weights along the chains of a confirmed plan: from whom an instance draws, the window from which it
 * passes chunks on, and its share of the link. It knows the endpoint only as where verified chunks are staged, and
 * knows neither requests nor when a version may answer. Processes on the hosted platform use
 * {@code org.micabarrow.weights} instead.
 */
package org.micabarrow.coordination.weights;
