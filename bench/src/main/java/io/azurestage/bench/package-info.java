/** Experiments and a demo that measure azurestage and its baselines at callers and servers. */
package io.azurestage.bench;
