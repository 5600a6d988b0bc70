/**
 * Distributes the chunks of a weight version between agents and brings an endpoint to its target version.
 *
 * <p>Each agent runs on the instance of one endpoint. A weight version is a list of chunks, identified by their SHA-256
 * digests. A version is <em>named</em> when the operator requests it as the target of a model; from then on, older
 * versions may be served for a limited time only. Each chunk should leave the origin once: agents fetch the other chunks
 * from each other.
 *
 * <p>The agent <em>stages</em> the chunks of the target version beside its endpoint. Before it <em>orders</em> the
 * endpoint to load them, it closes a <em>cordon</em>, during which entries send no new requests. If no newer version is
 * complete in time, it <em>retires</em> the version that the endpoint holds, so that the endpoint serves none.
 */
package org.micabarrow.weights;
