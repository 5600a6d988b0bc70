/**
 * Everything that touches the network: HTTP by Undertow towards callers, operators, the platform and endpoints, and gRPC
 * between the system's own processes.
 */
package org.micabarrow.transport;
