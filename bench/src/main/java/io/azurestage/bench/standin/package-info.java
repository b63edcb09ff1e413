/** Test doubles for the systems around azurestage: backend servers and the key-value store. */
package io.azurestage.bench.standin;
