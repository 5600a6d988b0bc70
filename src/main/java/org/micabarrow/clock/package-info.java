/** The clock by which processes judge how old what they know is. */
package org.micabarrow.clock;
