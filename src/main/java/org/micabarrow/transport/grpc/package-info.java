/** Calls between the system's own processes over gRPC: channels and their server, requests, records and chunks. */
package org.micabarrow.transport.grpc;
