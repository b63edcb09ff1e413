/**
 * Data that nodes share through the platform's store: server entries, records and configuration.
 */
package io.azurestage.relay.fleet;
