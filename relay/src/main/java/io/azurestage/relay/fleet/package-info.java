/** What nodes tell each other through the platform's store: entries and the configuration. */
package io.azurestage.relay.fleet;
