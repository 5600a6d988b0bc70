/**
 * Files written by people: process settings and operators' intents, in JSON with comments. Every field is validated;
 * errors name the file, line, field, value and allowed values.
 */
package org.micabarrow.settings;
