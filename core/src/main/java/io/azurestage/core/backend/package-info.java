/** What a node knows of backend servers: its own one by heartbeats, all others by their entries. */
package io.azurestage.core.backend;
