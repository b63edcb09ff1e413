/** The request context that is propagated from hop to hop, and its authentication. */
package io.azurestage.core.context;
