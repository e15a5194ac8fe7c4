/** Typed identifiers of instances, endpoints, teams, classes of work and requests. */
package io.bilberrygrade.core.identity;
