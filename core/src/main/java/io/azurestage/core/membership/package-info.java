/** Membership by SWIM-style gossip: who is alive, in which state, and where it listens. */
package io.azurestage.core.membership;
