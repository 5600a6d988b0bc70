/**
 * Stand-ins for what lies outside the system: the platform's log, list, store and origin, model engines and a plain
 * service. They speak the protocols of docs/PLATFORM.md on loopback, and have knobs for faults. Nothing in the product
 * depends on them.
 */
package org.micabarrow.standin;
