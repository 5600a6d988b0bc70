/**
 * The decisions of entries and agents: following the log, membership, the movement of weights, claims, and the routing
 * of requests. What talks to the outside stands behind interfaces here and is implemented in the transport layer.
 */
package org.micabarrow.coordination;
