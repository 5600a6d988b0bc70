/** The life of a request at an entry: what an endpoint's answer means, and whether it may be sent again. */
package org.micabarrow.attempts;
