/**
 * The messages between an entry and an agent for one attempt: the request with its claim, the parts of the response, and
 * the outcome. This package makes no decisions: it does not depend on the selection of an agent or on whether the request
 * may start there.
 */
package org.micabarrow.coordination.calls;
