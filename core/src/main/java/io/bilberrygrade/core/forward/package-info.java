/**
 * Placement and admission decisions for requests that are proxied unchanged to self-registered
 * endpoints.
 */
package io.bilberrygrade.core.forward;
