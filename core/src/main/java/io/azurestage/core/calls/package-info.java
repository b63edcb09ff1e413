/** Learns which requests make which calls, where calls do not name their parent. */
package io.azurestage.core.calls;
