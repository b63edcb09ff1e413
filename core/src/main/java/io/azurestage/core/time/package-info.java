/** Time: the time source that all decision logic is given, and the hybrid logical clock. */
package io.azurestage.core.time;
