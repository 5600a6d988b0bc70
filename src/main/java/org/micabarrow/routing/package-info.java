/** Which route a request takes, and which endpoint it is sent to. Nothing here knows a socket or the platform. */
package org.micabarrow.routing;
