/** HTTP/1.1 over Netty: listeners for callers, and pooled connections to servers and the store. */
package io.azurestage.relay.http;
