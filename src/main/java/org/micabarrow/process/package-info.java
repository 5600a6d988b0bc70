/** The processes: what an entry and an agent are made of, how they start, and how they stop without cutting a request. */
package org.micabarrow.process;
