/**
 * Exchange of the outstanding work of each daemon at the endpoints, through an aggregator so that
 * the cost stays bounded as the fleet grows.
 */
package io.bilberrygrade.core.exchange;
