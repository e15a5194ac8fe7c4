/**
 * Request rate limits that endpoints state for all daemons together, and the division of such a
 * limit among the daemons.
 */
package io.bilberrygrade.core.ratelimit;
