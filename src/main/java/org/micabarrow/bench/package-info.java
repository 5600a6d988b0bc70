/** Drivers of the demonstration and of the benchmarks. They use the product from outside, as callers and operators do. */
package org.micabarrow.bench;
