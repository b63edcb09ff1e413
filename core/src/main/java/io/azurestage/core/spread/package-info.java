/** Spread of accepted configuration versions over the nodes, and what the store's view means. */
package io.azurestage.core.spread;
