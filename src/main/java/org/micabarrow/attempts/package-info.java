/**
 * The attempts of a request at an entry: what an endpoint's response means, and whether the request may be sent again.
 */
package org.micabarrow.attempts;
