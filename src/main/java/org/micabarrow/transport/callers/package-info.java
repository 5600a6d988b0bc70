/** The HTTP interface for callers: reads the requests of an organisation's callers and writes their responses. */
package org.micabarrow.transport.callers;
