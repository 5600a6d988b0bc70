/** Reads the requests of an organisation's callers over HTTP and writes their answers. */
package org.micabarrow.transport.callers;
