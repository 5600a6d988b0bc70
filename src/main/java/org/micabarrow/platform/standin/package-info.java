/** The users' platform in small, for tests and for the build's rehearsal: its store, its endpoints and its origin. */
package org.micabarrow.platform.standin;
