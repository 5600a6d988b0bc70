/** Takes clients' requests and passes them straight to endpoints. */
package org.micabarrow.serving;
