/** Bounds on the memory that clients occupy. */
package io.azurestage.core.memory;
