/** HTTP/1.1 over Netty: listeners, and connection pools for backend servers and the store. */
package io.azurestage.relay.http;
