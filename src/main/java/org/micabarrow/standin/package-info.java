/**
 * Simulated external systems: the platform's log, instance list, store and origin, model engines and a plain service.
 * They implement the protocols of docs/PLATFORM.md on loopback and can inject faults. Production code does not depend
 * on them.
 */
package org.micabarrow.standin;
