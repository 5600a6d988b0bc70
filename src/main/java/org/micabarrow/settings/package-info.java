/**
 * Files that people write: settings of a process and operators' intents, in JSON with comments. Every field is checked,
 * and an error names the file, the line, the field, the value and what is allowed.
 */
package org.micabarrow.settings;
