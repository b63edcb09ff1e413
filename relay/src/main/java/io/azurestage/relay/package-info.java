/**
 * The node on a platform: takes callers' requests, places each at a node beside a backend server,
 * and runs those that are placed here. {@link io.azurestage.relay.Relay} starts it.
 */
package io.azurestage.relay;
