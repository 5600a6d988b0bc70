/** What operators ask of an entry over HTTP: plans, confirmations, status, and why a request goes where it goes. */
package org.micabarrow.transport.operators;
