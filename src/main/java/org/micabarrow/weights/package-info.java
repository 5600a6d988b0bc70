/** Spreads the chunks of a weight version between agents, and brings an endpoint to the version that is wanted. */
package org.micabarrow.weights;
