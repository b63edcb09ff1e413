/** Admits the requests of callers, sends each to a node that can run it, and answers the caller. */
package io.azurestage.relay.entry;
