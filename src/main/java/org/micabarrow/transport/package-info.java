/**
 * Everything that touches the network: HTTP by Undertow towards callers, operators, the platform and endpoints, and gRPC
 * between the system's own processes. On the users' platform these processes ask each other by HTTP and, about the load of
 * endpoints, by datagrams. What speaks gRPC is in {@code grpc}, what answers operators and callers in
 * {@code operators} and {@code callers}.
 */
package org.micabarrow.transport;
