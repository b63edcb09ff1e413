/** The request context that travels with a request from hop to hop, and its authentication. */
package io.azurestage.core.context;
