/**
 * A caller's request at an entry, from its arrival to its one outcome: it waits for room, is claimed if it may not be
 * repeated, and is sent to one agent after another for as long as that is safe. Nothing here knows how an agent decides,
 * or from where the configuration comes.
 */
package org.micabarrow.coordination.requests;
