/**
 * The configuration in force in a process: reading and folding its records on the one control thread, writing new ones,
 * and those that entries write on their own. It knows the log as its arbiter, and knows neither requests, claims nor
 * what a process does with the configuration.
 */
package org.micabarrow.coordination.configuration;
