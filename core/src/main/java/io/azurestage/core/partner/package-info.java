/** Partners of a platform's traffic configuration: access keys and ranks of their requests. */
package io.azurestage.core.partner;
