/**
 * Execution of callers' requests at an entry, from arrival to a single outcome. A request waits for a free slot, its key
 * is claimed if it must not be repeated, and it is sent to one agent after another while a retry is safe. This package
 * does not depend on how an agent decides or where the configuration comes from.
 */
package org.micabarrow.coordination.requests;
