/**
 * The node on a platform: accepts requests of callers, sends each to a node beside a suitable
 * backend server, and runs those that it receives on its own server. {@link
 * io.azurestage.relay.Relay} starts it.
 */
package io.azurestage.relay;
