/** The memory that a process holds for clients and endpoints, and the decisions that keep it within its limit. */
package org.micabarrow.memory;
