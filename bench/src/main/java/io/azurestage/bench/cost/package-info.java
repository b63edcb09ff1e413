/** What a call costs the nodes of a platform: processor time, threads' switches, and allocation. */
package io.azurestage.bench.cost;
