/** Selects the route of a request and the endpoint to which it is sent. Independent of sockets and of the platform. */
package org.micabarrow.routing;
