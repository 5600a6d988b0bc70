/**
 * The decisions of entries and agents, a package a concept; none holds a class here. What talks to the outside stands
 * behind interfaces and is implemented in the transport layer.
 *
 * <p>{@code log}, {@code membership}, {@code endpoint} and {@code admission} know no other. {@code claims} and
 * {@code configuration} know the log, {@code weights} the endpoint, {@code routing} membership and admission, and
 * {@code calls} claims. {@code requests} is an entry's side of a request and {@code agents} an agent's; neither knows
 * the other.
 */
package org.micabarrow.coordination;
