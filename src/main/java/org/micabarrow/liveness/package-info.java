/**
 * Whether the start of an endpoint that gave a response still runs. The connections of a process that has died end like
 * those of one that has finished its response, so a response that ends with its connection is complete only if its
 * endpoint is found to run afterwards.
 */
package org.micabarrow.liveness;
