/** Runs calls on the local backend server, which only this node can reach. */
package io.azurestage.relay.owner;
