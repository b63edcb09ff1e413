/** Distribution of accepted configuration versions between the nodes, and repair of the store. */
package io.azurestage.core.spread;
