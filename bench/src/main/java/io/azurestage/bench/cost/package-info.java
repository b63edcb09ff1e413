/** Measures the cost of a call at platform nodes: CPU time, context switches and memory. */
package io.azurestage.bench.cost;
