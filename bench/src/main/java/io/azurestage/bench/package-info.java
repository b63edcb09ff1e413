/** Experiments that measure azurestage and its baselines at callers and backend servers. */
package io.azurestage.bench;
