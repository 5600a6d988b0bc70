/**
 * The right to run a request that must not be repeated: claims, the claim that holds a key in log order, and the ledger
 * of an agent process, which starts a key at most once. This package does not depend on how requests are routed or sent,
 * or on the configuration.
 */
package org.micabarrow.coordination.claims;
