/** Poison requests, which crash the endpoints that run them: how they are detected, and when they are refused. */
package org.micabarrow.crashes;
