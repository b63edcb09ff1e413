/** Admission at the node of a backend server: limit, queue, classes, shares and chain levels. */
package io.azurestage.core.admission;
