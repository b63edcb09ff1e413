/** Control messages between nodes over UDP and TCP, and the thread that runs membership. */
package io.azurestage.mesh;
