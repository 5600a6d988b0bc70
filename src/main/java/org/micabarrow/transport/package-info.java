/**
 * Network communication: HTTP with Undertow towards callers, operators, the platform and endpoints, and gRPC between the
 * system's own processes. On the users' platform these processes communicate by HTTP and, about the load of endpoints, by
 * datagrams. The classes for gRPC are in {@code grpc}, the servers for operators and callers in {@code operators} and
 * {@code callers}.
 */
package org.micabarrow.transport;
