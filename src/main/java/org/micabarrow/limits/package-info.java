/**
 * Rate limits: the requests per second that an endpoint accepts from all entries together. No process divides them
 * centrally. Each entry computes its own quota share from the endpoint's last statement and the number of entries,
 * which agents determine from the queries that they receive.
 */
package org.micabarrow.limits;
