/**
 * The endpoint beside an agent, as the agent needs it: its report, chunks handed over, fenced orders, and requests sent
 * to it. Nothing here knows why an order is given, where chunks come from, or how the endpoint is reached.
 */
package org.micabarrow.coordination.endpoint;
