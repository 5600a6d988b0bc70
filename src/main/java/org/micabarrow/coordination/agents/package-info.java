/**
 * What an agent decides on its own: whether a request may start at its endpoint, what of the endpoint's answer is passed
 * on, and how each of its replicas comes to the version that the configuration asks for. Nothing here knows callers, or
 * how an entry chose this agent.
 */
package org.micabarrow.coordination.agents;
