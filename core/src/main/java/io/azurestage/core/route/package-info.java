/** Traffic configuration: routes, request limits and the choice of the service for a request. */
package io.azurestage.core.route;
