/**
 * The platform's key-value service: one small interface, and its adapter for the JSON form of
 * etcd's v3 API over HTTP.
 */
package io.azurestage.store;
