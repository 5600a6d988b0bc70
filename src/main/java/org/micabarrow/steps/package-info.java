/** Work that goes on for as long as the process runs. */
package org.micabarrow.steps;
