/**
 * Decides which requests are sent, which wait for a free slot and for how long, and when the clients of refused
 * requests should retry. Independent of sockets and of the platform; times are passed in as arguments.
 */
package org.micabarrow.admission;
