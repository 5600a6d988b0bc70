/** What a process believes of the platform's store: copies of its topics that never go back, and who keeps them fresh. */
package org.micabarrow.views;
