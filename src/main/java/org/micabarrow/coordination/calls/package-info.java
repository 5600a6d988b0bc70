/**
 * What passes between an entry and an agent for one attempt: the request with its claim, the parts of the answer, and
 * the outcome. Nothing here decides: it knows neither why an agent was chosen nor whether the request may start there.
 */
package org.micabarrow.coordination.calls;
