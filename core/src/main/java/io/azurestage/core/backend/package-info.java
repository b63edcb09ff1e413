/** State of backend servers: the local one from its heartbeats, all others from their entries. */
package io.azurestage.core.backend;
