/** SWIM-style gossip membership: the liveness, state and addresses of all nodes. */
package io.azurestage.core.membership;
