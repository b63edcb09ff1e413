/** Stand-ins for the systems around azurestage: backend servers and the key-value service. */
package io.azurestage.bench.standin;
