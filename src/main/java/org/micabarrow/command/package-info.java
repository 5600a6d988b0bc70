/** The command line: one class a subcommand, each with help, an example and documented exit codes. */
package org.micabarrow.command;
