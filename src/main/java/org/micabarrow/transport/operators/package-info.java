/** The HTTP interface for operators of an entry: plans, confirmations, replica status and explanations of routing. */
package org.micabarrow.transport.operators;
