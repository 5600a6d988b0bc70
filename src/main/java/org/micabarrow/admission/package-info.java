/**
 * Which requests are sent on, which wait for room and for how long, and when those that are refused are to come back.
 * Nothing here knows a socket or the platform; times are handed in.
 */
package org.micabarrow.admission;
