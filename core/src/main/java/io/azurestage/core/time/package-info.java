/** Time: the clock interface that all decision logic receives, and the hybrid logical clock. */
package io.azurestage.core.time;
