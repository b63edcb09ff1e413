/** Control messages between nodes over UDP and TCP, and the duty that runs membership. */
package io.azurestage.mesh;
