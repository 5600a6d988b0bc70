/** Receives client requests and forwards them to endpoints. */
package org.micabarrow.serving;
