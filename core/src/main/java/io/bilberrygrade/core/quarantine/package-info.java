/** Requests that crash the endpoints that start to answer them. */
package io.bilberrygrade.core.quarantine;
