/** gRPC between the system's own processes: the server and its channels, and calls for requests, records and chunks. */
package org.micabarrow.transport.grpc;
