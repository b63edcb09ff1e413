/** Infers which requests make which calls, where calls do not identify their parent request. */
package io.azurestage.core.calls;
