/**
 * What crashes endpoints: requests and parts of prompts are possible causes, and crashes and responses are the evidence
 * by which a cause is found and the requests that hold it are refused.
 */
package org.micabarrow.crashes;
