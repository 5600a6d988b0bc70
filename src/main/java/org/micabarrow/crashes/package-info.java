/** Requests that end the endpoints that run them: how they are recognised, and from when on they are refused. */
package org.micabarrow.crashes;
