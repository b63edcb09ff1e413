/** Runs calls on the backend server beside this node; only this node can reach that server. */
package io.azurestage.relay.owner;
