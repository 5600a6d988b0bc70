/** Drivers of the demonstration and the benchmarks. They use only the public interfaces for callers and operators. */
package org.micabarrow.bench;
