/**
 * Which processes there are and what is known of them: the platform's list, which lags, each agent's own word on its
 * replicas and load, and from whom a process draws its agents and its records. Nothing here knows claims, how a request
 * is routed, or how weights move.
 */
package org.micabarrow.coordination.membership;
