/** The messages between processes and with operators, and their conversion to the types of the coordination layer. */
package org.micabarrow.protocol;
