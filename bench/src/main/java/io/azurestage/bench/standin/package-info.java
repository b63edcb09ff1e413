/** Stand-ins for outside systems, with faults that can be switched on and off. */
package io.azurestage.bench.standin;
