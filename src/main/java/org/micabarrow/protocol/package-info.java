/** The messages between processes and towards operators, and their mapping to what the coordination layer works with. */
package org.micabarrow.protocol;
