/**
 * The node process: proxies the incoming and outgoing calls of one backend server and applies
 * admission control.
 *
 * <p>Start at {@link io.azurestage.node.Node#start}.
 */
package io.azurestage.node;
