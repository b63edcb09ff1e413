/**
 * The platform's key-value service: its interface, an implementation for the JSON gateway of etcd's
 * v3 API, and the publication of configurations through it.
 */
package io.azurestage.store;
