/**
 * The platform's append-only log, as its readers and writers see it: streams of records with offsets. It does not know
 * what a record means, who reads it, or how the log service is reached.
 */
package org.micabarrow.coordination.log;
