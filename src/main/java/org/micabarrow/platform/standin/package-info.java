/** Simulation of the users' platform for tests and the build's rehearsal: store, endpoints and origin. */
package org.micabarrow.platform.standin;
