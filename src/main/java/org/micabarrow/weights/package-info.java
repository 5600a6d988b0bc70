/**
 * Distributes the chunks of a weight version between agents and brings an endpoint to its target version.
 *
 * <p>Each agent runs on the instance of one endpoint. A weight version is a list of chunks, identified by their SHA-256
 * digests. A version is <em>named</em> when the operator requests it as the target of a model; from then on, older
 * versions may be served for a limited time only. Each chunk should leave the origin once: agents fetch the other
 * chunks from each other.
 */
package org.micabarrow.weights;
