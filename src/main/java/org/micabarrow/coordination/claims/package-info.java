/**
 * The right to run a request that may not be repeated: claims, who holds a key by the order of the log, and the ledger
 * of an agent's process, which starts a key at most once. Nothing here knows how a request is routed or sent, or what
 * the configuration says.
 */
package org.micabarrow.coordination.claims;
