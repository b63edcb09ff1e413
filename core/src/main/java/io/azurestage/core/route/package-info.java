/** Routes of an operator's traffic configuration and the choice of the service for a request. */
package io.azurestage.core.route;
