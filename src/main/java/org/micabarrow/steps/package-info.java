/** Background tasks that run until the process ends. */
package org.micabarrow.steps;
