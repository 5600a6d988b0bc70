/**
 * An immutable view of the store and the components that keep it up to date: copies of the topics of the store, which
 * never go back to older records, and their readers.
 */
package org.micabarrow.views;
