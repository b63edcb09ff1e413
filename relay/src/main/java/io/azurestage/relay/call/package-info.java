/** A call between the node of its origin and the node beside the backend server. */
package io.azurestage.relay.call;
