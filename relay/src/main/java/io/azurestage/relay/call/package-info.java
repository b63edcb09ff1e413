/** Calls from the node where a request enters to the node beside the backend server. */
package io.azurestage.relay.call;
