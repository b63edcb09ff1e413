/**
 * The node daemon: carries the calls of one backend server, in and out, and decides what is
 * admitted.
 *
 * <p>Start at {@link io.azurestage.node.Node#start}.
 */
package io.azurestage.node;
