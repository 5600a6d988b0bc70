/**
 * Meets the users' platform: the names, formats and calls of its store, settings, requests and endpoints, decoded into
 * the project's own types. Nothing here decides anything.
 */
package org.micabarrow.platform;
