/** Load balancing: the choice of a backend server for each attempt. */
package io.azurestage.core.routing;
