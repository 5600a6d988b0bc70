/** HTTP header fields as values, independent of the library that reads and writes them. */
package org.micabarrow.headers;
