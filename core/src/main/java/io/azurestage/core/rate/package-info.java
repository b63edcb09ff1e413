/** Token buckets. */
package io.azurestage.core.rate;
